#ifndef TEASEL_BASE_LIST_H
#define TEASEL_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct list - link of an intrusive, circular, doubly linked list
 * @next: next link, or the head
 * @prev: previous link, or the head
 *
 * Heads and links have the same type. A link that is on no list points to
 * itself, so list_remove() may be called on it.
 */
typedef struct list {
    struct list *next;
    struct list *prev;
} list_t;

#define LIST_ENTRY(link, type, member)                                        \
    ((type *)((char *)(link)-offsetof(type, member)))

/* The body must not remove the current element. */
#define LIST_FOREACH(pos, head, type, member)                                 \
    for (type *pos = LIST_ENTRY((head)->next, type, member);                  \
         &pos->member != (head);                                              \
         pos = LIST_ENTRY(pos->member.next, type, member))

/* The body may remove or free the current element. */
#define LIST_FOREACH_SAFE(pos, head, type, member)                            \
    for (type *pos = LIST_ENTRY((head)->next, type, member),                  \
              *pos##_next = LIST_ENTRY(pos->member.next, type, member);       \
         &pos->member != (head); pos = pos##_next,                            \
              pos##_next = LIST_ENTRY(pos##_next->member.next, type, member))

static inline void
list_init(list_t *link)
{
    link->next = link;
    link->prev = link;
}

static inline bool
list_is_empty(const list_t *head)
{
    return head->next == head;
}

static inline void
list_insert_before(list_t *position, list_t *link)
{
    link->prev = position->prev;
    link->next = position;
    position->prev->next = link;
    position->prev = link;
}

static inline void
list_append(list_t *head, list_t *link)
{
    list_insert_before(head, link);
}

static inline void
list_remove(list_t *link)
{
    link->prev->next = link->next;
    link->next->prev = link->prev;
    list_init(link);
}

#endif
