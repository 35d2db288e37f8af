#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/histogram.h"
#include "base/metrics.h"
}

namespace {

// Guards against a quantile with an error of more than one bucket width.
RC_GTEST_PROP(HistogramTest, QuantileIsWithinBucketWidth,
              (std::vector<uint32_t> values))
{
    auto histogram = std::make_unique<histogram_t>();

    RC_PRE(!values.empty());
    for (uint32_t value : values) {
        histogram_add(histogram.get(), value);
    }
    std::sort(values.begin(), values.end());
    for (double quantile : {0.0, 0.5, 0.99}) {
        double exact = values[(size_t)(quantile * (double)values.size())];
        double found =
            (double)histogram_get_quantile(histogram.get(), quantile);

        RC_ASSERT(found >= exact);
        RC_ASSERT(found <= exact * (1.0 + 1.0 / 32) + 1);
    }
    RC_ASSERT(histogram_get_quantile(histogram.get(), 1.0) == values.back());
}

// Guards against output that a Prometheus server rejects, such as a repeated
// HELP line.
TEST(MetricsTest, RendersHelpOncePerName)
{
    metrics_t metrics;
    metric_t first;
    metric_t second;
    metric_t times;
    GString *out = g_string_new(nullptr);

    metrics_init(&metrics);
    metrics_add(&metrics, &first, METRIC_COUNTER, "a_total", "k=\"1\"", "A.");
    metrics_add(&metrics, &second, METRIC_COUNTER, "a_total", "k=\"2\"", "A.");
    metrics_add(&metrics, &times, METRIC_SUMMARY, "b_us", nullptr, "B.");
    first.value = 3;
    histogram_add(times.histogram, 10);
    metrics_render(&metrics, out);
    EXPECT_STREQ(out->str,
                 "# HELP a_total A.\n# TYPE a_total counter\n"
                 "a_total{k=\"1\"} 3\na_total{k=\"2\"} 0\n"
                 "# HELP b_us B.\n# TYPE b_us summary\n"
                 "b_us{quantile=\"0.5\"} 10\nb_us{quantile=\"0.9\"} 10\n"
                 "b_us{quantile=\"0.99\"} 10\nb_us{quantile=\"0.999\"} 10\n"
                 "b_us_sum 10\nb_us_count 1\n");
    metrics_remove(&first);
    metrics_remove(&second);
    metrics_remove(&times);
    g_string_free(out, TRUE);
}

} // namespace
