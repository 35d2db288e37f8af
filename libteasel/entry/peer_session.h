#ifndef TEASEL_ENTRY_PEER_SESSION_H
#define TEASEL_ENTRY_PEER_SESSION_H

#include "base/list.h"
#include "request/member.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct peer_server;

/**
 * struct peer_session - an accepted connection of an agent or another entry
 * @owner: the peer_server_t that accepted it
 * @member: the agent; NULL before its Hello, and for another entry
 * @forwards: attempts that wait for an answer on this connection
 */
typedef struct peer_session {
    list_t link;
    struct peer_server *owner;
    peer_t *peer;
    member_t *member;
    list_t forwards;
} peer_session_t;

#ifdef __cplusplus
}
#endif

#endif
