#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

extern "C" {
#include "base/events.h"
}

namespace {

// Guards against events without an entry in docs/events.md and against numbers
// that are used twice.
TEST(Events, CatalogueIsComplete)
{
    std::ifstream file("docs/events.md");
    std::stringstream text;
    std::set<int> numbers;

    text << file.rdbuf();
    for (int i = 0; i < EVENT_COUNT; i++) {
        int number = 0;
        std::string name = event_get_name(static_cast<event_id_t>(i), &number);
        std::string row = "| " + std::to_string(number) + " | " + name + " | ";

        EXPECT_NE(text.str().find(row), std::string::npos) << row;
        EXPECT_TRUE(numbers.insert(number).second) << number;
    }
}

} // namespace
