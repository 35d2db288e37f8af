/* Settings of the scheduler that are numbers in the form of a text. */

#include <gtest/gtest.h>

#include <unistd.h>

#include <fstream>
#include <string>

extern "C" {
#include "scheduler/scheduler.h"
}

namespace {

class SchedulerSettingsTest : public ::testing::Test {
  protected:
    std::string message;
    double remote_factor = 0;

    bool
    load(const std::string &extra)
    {
        std::string path = ::testing::TempDir() + "scheduler_settings_test." +
                           std::to_string(getpid());
        scheduler_settings_t settings;
        g_autoptr(GError) error = nullptr;
        bool loaded;

        std::ofstream(path) << R"({"name": "s", "data_centre": "dc",
                   "peer_address": "127.0.0.1:1", "http_listen": "127.0.0.1:2",
                   "ready_listen": "127.0.0.1:3",
                   "store_address": "127.0.0.1:4")"
                            << extra << "}";
        loaded = scheduler_settings_load(path.c_str(), &settings, &error);
        message = error != nullptr ? error->message : "";
        if (loaded) {
            remote_factor = settings.remote_run_factor;
            scheduler_settings_clear(&settings);
        }
        unlink(path.c_str());
        return loaded;
    }
};

// Guards against a scheduler that doesn't start, or takes remote data to cost
// nothing, where the platform names no factor.
TEST_F(SchedulerSettingsTest, HasARemoteFactorIfNoneIsNamed)
{
    ASSERT_TRUE(load("")) << message;
    EXPECT_DOUBLE_EQ(remote_factor, 1.5);
    ASSERT_TRUE(load(R"(, "remote_factor": "")")) << message;
    EXPECT_DOUBLE_EQ(remote_factor, 1.5);
}

// Guards against a factor that is not taken over.
TEST_F(SchedulerSettingsTest, TakesTheRemoteFactorOver)
{
    ASSERT_TRUE(load(R"(, "remote_factor": "3")")) << message;
    EXPECT_DOUBLE_EQ(remote_factor, 3);
}

// Guards against a factor that makes remote data an advantage, or is none.
TEST_F(SchedulerSettingsTest, RefusesAnOddRemoteFactor)
{
    for (const char *odd : {"0.9", "-1", "101", "nan", "inf", "1.5x", "x"}) {
        EXPECT_FALSE(load(std::string(R"(, "remote_factor": ")") + odd + "\""))
            << odd;
        EXPECT_NE(message.find(odd), std::string::npos) << message;
    }
}

// Guards against an option of the deploy file that is ignored, or that ends
// the scheduler where the platform names no factor.
TEST_F(SchedulerSettingsTest, TakesTheRemoteFactorFromAnOption)
{
    scheduler_settings_t settings = {};
    g_autoptr(GError) error = nullptr;

    settings.remote_factor = g_strdup("2");
    EXPECT_TRUE(scheduler_settings_set_remote_factor(&settings, "3", &error));
    EXPECT_DOUBLE_EQ(settings.remote_run_factor, 3);
    EXPECT_TRUE(scheduler_settings_set_remote_factor(&settings, "", &error));
    EXPECT_DOUBLE_EQ(settings.remote_run_factor, 1.5);
    EXPECT_FALSE(scheduler_settings_set_remote_factor(&settings, "x", &error));
    g_free(settings.remote_factor);
}

} // namespace
