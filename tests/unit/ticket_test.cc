#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "base/error.h"
#include "config/ticket.h"
}

namespace {

std::string
error_of(const std::string &text)
{
    GError *error = nullptr;
    ticket_t *ticket =
        ticket_parse(text.data(), text.size(), "t.json", &error);
    std::string message;

    if (ticket == nullptr) {
        message = error->message;
        EXPECT_EQ(error->domain, TEASEL_ERROR);
        g_error_free(error);
    }
    ticket_free(ticket);
    return message;
}

std::string
make_ticket(const std::string &objects, const std::string &number = "7")
{
    return "{\"ticket\": " + number +
           ", \"author\": \"ama\", \"reason\": \"r\", \"objects\": " +
           objects + "}";
}

std::string
service(const std::string &body)
{
    return make_ticket("{\"service/preview\": " + body + "}");
}

struct Refusal {
    std::string text;
    std::string message; /* the whole error */
};

// Guards against errors that do not name object, key, value and range, and
// against negative, overflowing and mistyped numbers being accepted.
TEST(Ticket, ErrorsNameTheInput)
{
    const std::string slots = "t.json: object \"service/preview\": key "
                              "\"slots\": found ";
    const std::string range = "; allowed: an integer from 1 to 10000";
    const std::string number = "t.json: key \"ticket\": found ";
    const std::string numbers =
        "; allowed: an integer from 1 to 999999999999999";
    const Refusal refusals[] = {
        {service("{\"slots\": -1}"), slots + "-1" + range},
        {service("{\"slots\": 0}"), slots + "0" + range},
        {service("{\"slots\": 8.0}"), slots + "8.0" + range},
        {service("{\"slots\": \"8\"}"), slots + "\"8\"" + range},
        {service("{\"slots\": null}"), slots + "null" + range},
        {service("{\"slots\": 99999999999999999999999}"),
         slots + "18446744073709551615" + range},
        {service("{\"idempotent\": true}"),
         "t.json: object \"service/preview\": key \"idempotent\": found true; "
         "allowed: method, no, yes"},
        {service("{\"default_deadline_ms\": 70000}"),
         "t.json: object \"service/preview\": key \"default_deadline_ms\": "
         "found 70000; allowed: at most the value of \"max_deadline_ms\", "
         "60000"},
        {service("3"), "t.json: object \"service/preview\": found 3; allowed: "
                       "a JSON object, or null to remove it"},
        {make_ticket("{}"),
         "t.json: key \"objects\": found {}; allowed: a JSON "
         "object with 1 to 1000 objects"},
        {make_ticket("{}", "-7"), number + "-7" + numbers},
        {make_ticket("{}", "7e0"), number + "7e0" + numbers},
        {make_ticket("{}", "1000000000000000"),
         number + "1000000000000000" + numbers},
        {"{\"ticket\": 1}", "t.json: key \"author\" is missing"},
        {"{\"tickets\": 1}", "t.json: key \"tickets\": found 1; allowed: only "
                             "the keys ticket, author, reason, objects"},
        {"{\n\"ticket\": 1,\n\"author\" 3}",
         "t.json:3: object property name separator ':' expected"},
        {"{} {}", "t.json:1: unexpected character"},
        {"null", "t.json:1: unexpected character"},
        {"", "t.json:1: unexpected end of data"},
        {"[1]", "t.json: found [ 1 ]; allowed: a JSON object"},
    };

    for (const Refusal &refusal : refusals) {
        EXPECT_EQ(error_of(refusal.text), refusal.message) << refusal.text;
    }
    EXPECT_NE(error_of(make_ticket("{\"service/Preview\": {}}"))
                  .find("unknown name"),
              std::string::npos);
    EXPECT_NE(error_of(service("{\"slot\": 1}")).find("one of the keys slots"),
              std::string::npos);
    EXPECT_NE(error_of(std::string(300000, ' ') + "{}").find("at most 262144"),
              std::string::npos);
}

// Guards against an invalid object being skipped while the others are
// accepted.
TEST(Ticket, InvalidObjectRefusesTheTicket)
{
    EXPECT_NE(
        error_of(make_ticket("{\"service/a\": {\"slots\": 2}, \"team/b\": "
                             "{\"weight\": 0}}")),
        "");
}

// Guards against the same ticket in another layout being taken for another
// ticket.
TEST(Ticket, HashIgnoresLayout)
{
    const std::string a =
        make_ticket("{\"team/b\":{},\"team/a\":{\"weight\":1,"
                    "\"cpu_milli\":2}}");
    const std::string b = "{\"objects\": {\"team/a\": {\"cpu_milli\": 2,\n "
                          "\"weight\": 1}, \"team/b\": {}},\n\"reason\": "
                          "\"\\u0072\", \"author\": \"ama\", \"ticket\": 7}\n";
    ticket_t *first = ticket_parse(a.data(), a.size(), "a", nullptr);
    ticket_t *second = ticket_parse(b.data(), b.size(), "b", nullptr);

    ASSERT_NE(first, nullptr);
    ASSERT_NE(second, nullptr);
    EXPECT_STREQ(first->canonical, second->canonical);
    EXPECT_EQ(first->hash, second->hash);
    ticket_free(first);
    ticket_free(second);
}

// Guards against missing keys taking another value than the default.
TEST(Ticket, MissingKeysTakeDefaults)
{
    const std::string text = service("{\"slots\": 2}");
    ticket_t *ticket = ticket_parse(text.data(), text.size(), "t", nullptr);

    ASSERT_NE(ticket, nullptr);
    const auto *object =
        static_cast<ticket_object_t *>(ticket->objects->pdata[0]);
    EXPECT_EQ(object->value.service.slots, 2);
    EXPECT_EQ(object->value.service.connections, 64);
    EXPECT_EQ(object->value.service.ticket, 7U);
    EXPECT_TRUE(object->value.service.declared);
    ticket_free(ticket);
}

} // namespace
