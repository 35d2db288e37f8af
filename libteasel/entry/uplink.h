#ifndef TEASEL_ENTRY_UPLINK_H
#define TEASEL_ENTRY_UPLINK_H

#include "base/list.h"
#include "request/member.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct uplinks;

/**
 * struct uplink - an incoming connection on the peer port
 * @owner: the uplinks_t that accepted it
 * @member: set after Hello; NULL for another entry and before Hello
 * @forwards: attempts that wait for an answer on this connection
 */
typedef struct uplink {
    list_t link;
    struct uplinks *owner;
    peer_t *peer;
    member_t *member;
    list_t forwards;
} uplink_t;

#ifdef __cplusplus
}
#endif

#endif
