#include "caller/problem.h"

#include <json-c/json.h>

int
problem_get_status(const problem_t *problem)
{
    const error_info_t *answer = error_get_info(problem->kind);

    /* The status of a refusal, such as 413, would contradict the member
       "executed": "unknown". */
    if (problem->maybe_run && !answer->executed) {
        answer = error_get_info(ERROR_CONNECTION_LOST);
    }
    return answer->http_status;
}

static void
add_text(struct json_object *document, const char *key, const char *text)
{
    g_autofree char *valid = g_utf8_make_valid(text, -1);

    json_object_object_add(document, key, json_object_new_string(valid));
}

char *
problem_render(const problem_t *problem)
{
    const error_info_t *answer = error_get_info(problem->kind);
    struct json_object *document = json_object_new_object();
    g_autofree char *type =
        g_strdup_printf("urn:teaselhaven:problem:%s", answer->name);
    char *text;

    add_text(document, "type", type);
    add_text(document, "title", answer->title);
    json_object_object_add(document, "status",
                           json_object_new_int(problem_get_status(problem)));
    if (problem->detail != NULL && *problem->detail != '\0') {
        add_text(document, "detail", problem->detail);
    }
    add_text(document, "executed", problem->maybe_run ? "unknown" : "no");
    text = g_strdup(json_object_to_json_string_ext(
        document, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(document);
    return text;
}

void
problem_reply(http_exchange_t *exchange, const problem_t *problem)
{
    g_autofree char *text = problem_render(problem);

    http_exchange_reply_text(exchange, problem_get_status(problem),
                             "application/problem+json", text);
}
