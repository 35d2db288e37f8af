#ifndef TEASEL_TESTS_FAKE_ENTRY_H
#define TEASEL_TESTS_FAKE_ENTRY_H

#include <algorithm>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "wire/peer.h"
}

#include "test_address.h"

struct Answer {
    Teasel__Envelope__BodyCase kind;
    uint32_t error;
    uint32_t status;
    std::string body;
};

// A fake entry that accepts agents and records the messages they send.
struct FakeEntry {
    loop_t *loop;
    char address[32];
    peer_listener_t *listener = nullptr;
    peer_handler_t handler = {};
    std::vector<peer_t *> peers;
    std::vector<std::string> advertised_entries; // sent in HelloAck
    std::map<uint64_t, std::vector<Answer>> answers;
    size_t hellos = 0;
    size_t reports = 0;
    size_t leaves = 0;
    size_t answer_count = 0;

    static void
    on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
    {
        auto *self = static_cast<FakeEntry *>(data);

        switch (message->body_case) {
        case TEASEL__ENVELOPE__BODY_HELLO:
            self->hellos++;
            self->send_ack(peer);
            break;
        case TEASEL__ENVELOPE__BODY_REPORT:
            self->reports++;
            break;
        case TEASEL__ENVELOPE__BODY_LEAVE:
            self->leaves++;
            break;
        case TEASEL__ENVELOPE__BODY_REPLY:
            self->add_answer(message->reply->request_id,
                             {message->body_case, 0, message->reply->status,
                              std::string(reinterpret_cast<char *>(
                                              message->reply->body.data),
                                          message->reply->body.len)});
            break;
        case TEASEL__ENVELOPE__BODY_NOT_RUN:
            self->add_answer(
                message->not_run->request_id,
                {message->body_case, message->not_run->kind, 0, ""});
            break;
        case TEASEL__ENVELOPE__BODY_UNKNOWN:
            self->add_answer(
                message->unknown->request_id,
                {message->body_case, message->unknown->kind, 0, ""});
            break;
        default:
            break;
        }
    }

    static void
    on_close(peer_t *peer, const char *, void *data)
    {
        auto &peers = static_cast<FakeEntry *>(data)->peers;

        peers.erase(std::remove(peers.begin(), peers.end(), peer),
                    peers.end());
    }

    static void
    on_accept(peer_t *peer, void *data)
    {
        static_cast<FakeEntry *>(data)->peers.push_back(peer);
    }

    FakeEntry(loop_t *event_loop, int port) : loop(event_loop)
    {
        peer_opts_t opts = {};

        test_address(address, port);
        handler.on_message = on_message;
        handler.on_close = on_close;
        opts.loop = loop;
        opts.clock = clock_system();
        opts.handler = &handler;
        opts.data = this;
        opts.max_queued_bytes = 64 << 20;
        opts.silence_ms = 5000;
        opts.ping_ms = 500;
        listener = peer_listen(&opts, address, on_accept, nullptr);
    }

    ~FakeEntry()
    {
        peer_listener_free(listener);
    }

    void
    add_answer(uint64_t id, const Answer &answer)
    {
        answers[id].push_back(answer);
        answer_count++;
    }

    void
    send_ack(peer_t *peer)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__HelloAck ack = TEASEL__HELLO_ACK__INIT;
        std::vector<char *> list;

        for (auto &entry : advertised_entries) {
            list.push_back(const_cast<char *>(entry.c_str()));
        }
        ack.entries = list.data();
        ack.n_entries = list.size();
        envelope.body_case = TEASEL__ENVELOPE__BODY_HELLO_ACK;
        envelope.hello_ack = &ack;
        peer_send(peer, &envelope);
    }

    void
    request(uint64_t id, const char *target, uint32_t deadline_ms,
            bool idempotent = false)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__Request message = TEASEL__REQUEST__INIT;
        std::string body = std::to_string(id);

        message.request_id = id;
        message.service = const_cast<char *>("previews");
        message.method = const_cast<char *>("POST");
        message.target = const_cast<char *>(target);
        message.body.data = reinterpret_cast<uint8_t *>(body.data());
        message.body.len = body.size();
        message.deadline_ms = deadline_ms;
        message.idempotent = idempotent;
        envelope.body_case = TEASEL__ENVELOPE__BODY_REQUEST;
        envelope.request = &message;
        peer_send(peers.at(0), &envelope);
    }

    void
    cancel(uint64_t id)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__CancelRequest message = TEASEL__CANCEL_REQUEST__INIT;

        message.request_id = id;
        envelope.body_case = TEASEL__ENVELOPE__BODY_CANCEL_REQUEST;
        envelope.cancel_request = &message;
        peer_send(peers.at(0), &envelope);
    }
};

#endif
