#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <unistd.h>

#include <fstream>
#include <string>

extern "C" {
#include "base/error.h"
#include "base/settings.h"
}

namespace {

struct Sample {
    char *listen;
    char *mode;
    char **seeds;
    int64_t slots;
    gboolean verbose;
};

const char *const modes[] = {"fast", "safe", nullptr};

const setting_t table[] = {
    {"listen", SETTING_ADDRESS, offsetof(Sample, listen), true, 0, 0, 0,
     nullptr, nullptr},
    {"mode", SETTING_CHOICE, offsetof(Sample, mode), false, 0, 0, 0, "safe",
     modes},
    {"seeds", SETTING_ADDRESS_LIST, offsetof(Sample, seeds), false, 0, 0, 0,
     nullptr, nullptr},
    {"slots", SETTING_INTEGER, offsetof(Sample, slots), false, 1, 64, 8,
     nullptr, nullptr},
    {"verbose", SETTING_BOOLEAN, offsetof(Sample, verbose), false, 0, 0, 0,
     nullptr, nullptr},
    {},
};

class SettingsTest : public ::testing::Test {
  protected:
    Sample sample = {};
    std::string message;

    bool
    load(const std::string &text)
    {
        std::string path =
            ::testing::TempDir() + "settings_test." + std::to_string(getpid());
        GError *error = nullptr;
        bool loaded;

        std::ofstream(path) << text;
        sample = {};
        loaded = settings_load(path.c_str(), table, &sample, &error);
        message = error != nullptr ? error->message : "";
        g_clear_error(&error);
        return loaded;
    }

    void
    TearDown() override
    {
        settings_clear(table, &sample);
    }
};

// Guards against rejecting comments and against losing default values.
TEST_F(SettingsTest, AcceptsCommentsAndSetsDefaults)
{
    ASSERT_TRUE(load("// first\n{\"listen\": \"127.0.0.1:80\", /* two */ "
                     "\"seeds\": [\"127.0.0.1:1\"]}\n// end\n"))
        << message;
    EXPECT_STREQ(sample.listen, "127.0.0.1:80");
    EXPECT_STREQ(sample.mode, "safe");
    EXPECT_EQ(sample.slots, 8);
    EXPECT_STREQ(sample.seeds[0], "127.0.0.1:1");
    EXPECT_EQ(sample.seeds[1], nullptr);
}

struct BadCase {
    const char *text;
    const char *expected;
};

// Guards against accepting an invalid settings file, and against an error
// message without the key, the value found and the values allowed.
TEST_F(SettingsTest, ReportsKeyAndValueOfErrors)
{
    const BadCase cases[] = {
        {"{\"listen\": \"127.0.0.1:80\"", ":1: unexpected end of data"},
        {"{\n\"listen\": oops}", ":2: "},
        {"{\"listen\": \"127.0.0.1:80\"}\n{}", ":2: text after the end"},
        {"[1]", "allowed: a JSON object"},
        {"{}", "key \"listen\" is missing"},
        {"{\"listen\": \"localhost:80\"}",
         "key \"listen\": found \"localhost:80\"; allowed: IPv4:PORT"},
        {"{\"listen\": \"127.0.0.1:65536\"}", "allowed: IPv4:PORT"},
        {"{\"listen\": \"127.0.0.1:80\", \"slots\": 65}",
         "key \"slots\": found 65; allowed: an integer from 1 to 64"},
        {"{\"listen\": \"127.0.0.1:80\", \"slots\": 1e3}", "key \"slots\""},
        {"{\"listen\": \"127.0.0.1:80\", \"slots\": 99999999999999999999}",
         "key \"slots\""},
        {"{\"listen\": \"127.0.0.1:80\", \"mode\": \"slow\"}",
         "found \"slow\"; allowed: fast, safe"},
        {"{\"listen\": \"127.0.0.1:80\", \"seeds\": [1]}",
         "key \"seeds\": found 1"},
        {"{\"listen\": \"127.0.0.1:80\", \"verbose\": 1}",
         "allowed: true or false"},
        {"{\"listen\": \"127.0.0.1:80\", \"lisen\": 1}",
         "unknown key \"lisen\" with value 1; allowed: listen, mode"},
    };

    for (const BadCase &bad : cases) {
        EXPECT_FALSE(load(bad.text)) << bad.text;
        EXPECT_NE(message.find(bad.expected), std::string::npos)
            << bad.text << " gave: " << message;
    }
}

// Guards against crashes of the parser on arbitrary text.
RC_GTEST_FIXTURE_PROP(SettingsTest, SurvivesRandomText,
                      (const std::string &text))
{
    if (!load("{\"listen\": " + text)) {
        RC_ASSERT(!message.empty());
    }
    settings_clear(table, &sample);
}

// Guards against an error kind without a name or an HTTP status.
TEST(ErrorTest, EveryKindHasNameAndStatus)
{
    for (unsigned kind = 0; kind < ERROR_KIND_COUNT; kind++) {
        const error_info_t *info = error_get_info(kind);

        ASSERT_NE(info->name, nullptr) << kind;
        EXPECT_GE(info->http_status, 400) << info->name;
    }
    EXPECT_EQ(error_get_info(12345), error_get_info(ERROR_INTERNAL));
}

} // namespace
