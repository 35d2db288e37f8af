#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <string>

extern "C" {
#include "base/log_sink.h"
}

namespace {

struct Pipe {
    int ends[2] = {-1, -1};

    Pipe()
    {
        if (pipe(ends) != 0) {
            abort();
        }
        fcntl(ends[1], F_SETPIPE_SZ, 4096);
    }
    Pipe(const Pipe &) = delete;
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string
    read_all()
    {
        char buffer[65536];
        ssize_t size;
        std::string text;

        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        while ((size = read(ends[0], buffer, sizeof(buffer))) > 0) {
            text.append(buffer, (size_t)size);
        }
        return text;
    }
};

// Guards against a process that blocks, or uses ever more memory, while its
// log is not read, and against losing lines without counting them.
TEST(LogSink, DropsAndCountsLinesThatDoNotFit)
{
    Pipe pipe;
    log_sink_t *sink = log_sink_new(pipe.ends[1], 8192);
    std::string line(99, 'x');
    int added = 0;

    line += '\n';
    for (int i = 0; i < 1000; i++) {
        added += log_sink_add(sink, line.data(), line.size(), false);
        log_sink_flush(sink);
    }
    EXPECT_LT(added, 150);
    EXPECT_GT(added, 50);
    EXPECT_EQ(log_sink_take_dropped(sink), 0U); /* more than half full */
    EXPECT_TRUE(log_sink_add(sink, line.data(), line.size(), true));
    std::string text = pipe.read_all();
    while (!log_sink_flush(sink)) {
        text += pipe.read_all();
    }
    text += pipe.read_all();
    EXPECT_EQ(text.size(), (size_t)(added + 1) * 100);
    EXPECT_EQ(log_sink_take_dropped(sink), 1000U - added);
    log_sink_free(sink);
}

// Guards against reordered or damaged lines at the end of the ring buffer.
TEST(LogSink, KeepsTheOrderOfLines)
{
    Pipe pipe;
    log_sink_t *sink = log_sink_new(pipe.ends[1], 1000);
    std::string expected;
    std::string text;

    for (int i = 0; i < 500; i++) {
        std::string line = "line " + std::to_string(i) + "\n";

        ASSERT_TRUE(log_sink_add(sink, line.data(), line.size(), true));
        expected += line;
        if (i % 7 == 0) {
            log_sink_flush(sink);
            text += pipe.read_all();
        }
    }
    log_sink_flush(sink);
    text += pipe.read_all();
    EXPECT_EQ(text, expected);
    log_sink_free(sink);
}

} // namespace
