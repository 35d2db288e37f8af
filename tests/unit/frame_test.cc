#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "base/error.h"
#include "wire/frame.h"
}

namespace {

std::vector<uint8_t>
encode_not_run(uint64_t request_id, std::string detail)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__NotRun not_run = TEASEL__NOT_RUN__INIT;
    GByteArray *out = g_byte_array_new();

    not_run.request_id = request_id;
    not_run.detail = detail.data();
    envelope.body_case = TEASEL__ENVELOPE__BODY_NOT_RUN;
    envelope.not_run = &not_run;
    EXPECT_TRUE(frame_encode(&envelope, out, nullptr));
    std::vector<uint8_t> bytes(out->data, out->data + out->len);
    g_byte_array_unref(out);
    return bytes;
}

frame_status_t
decode(const std::vector<uint8_t> &bytes, size_t *consumed, uint64_t *id)
{
    Teasel__Envelope *envelope = nullptr;
    g_autoptr(GError) error = nullptr;
    frame_status_t status =
        frame_decode(bytes.data(), bytes.size(), consumed, &envelope, &error);

    EXPECT_EQ(status == FRAME_MALFORMED, error != nullptr);
    EXPECT_EQ(status == FRAME_COMPLETE, envelope != nullptr);
    if (envelope != nullptr) {
        if (envelope->body_case == TEASEL__ENVELOPE__BODY_NOT_RUN) {
            *id = envelope->not_run->request_id;
        }
        teasel__envelope__free_unpacked(envelope, nullptr);
    }
    return status;
}

// Guards against decoding a frame before all its bytes have arrived, and
// against consuming bytes of the next frame.
RC_GTEST_PROP(Frame, IsCompleteOnlyWithAllItsBytes, (uint64_t id))
{
    size_t detail = *rc::gen::inRange<size_t>(0, 300);
    std::vector<uint8_t> bytes = encode_not_run(id, std::string(detail, 'x'));
    size_t cut = *rc::gen::inRange<size_t>(0, bytes.size());
    std::vector<uint8_t> part(bytes.begin(), bytes.begin() + (long)cut);
    size_t consumed = 0;
    uint64_t found = ~id;

    RC_ASSERT(decode(part, &consumed, &found) == FRAME_INCOMPLETE);
    std::vector<uint8_t> more = bytes;
    more.insert(more.end(), {0, 0, 0, 0});
    RC_ASSERT(decode(more, &consumed, &found) == FRAME_COMPLETE);
    RC_ASSERT(consumed == bytes.size());
    RC_ASSERT(found == id);
}

// Guards against reads outside the buffer when the bytes are not a frame.
RC_GTEST_PROP(Frame, SurvivesRandomBytes, (std::vector<uint8_t> bytes))
{
    size_t consumed = 0;
    uint64_t id;

    if (bytes.size() > 4) {
        bytes[0] = bytes[1] = bytes[2] = 0;
    }
    frame_status_t status = decode(bytes, &consumed, &id);
    RC_ASSERT(status != FRAME_COMPLETE || consumed <= bytes.size());
}

// Guards against waiting for gigabytes after an invalid length.
TEST(Frame, RejectsInvalidLengths)
{
    size_t consumed = 0;
    uint64_t id;

    EXPECT_EQ(decode({0, 0, 0, 0}, &consumed, &id), FRAME_MALFORMED);
    EXPECT_EQ(decode({1, 0, 0, 1}, &consumed, &id), FRAME_MALFORMED);
    EXPECT_EQ(decode({1, 0, 0, 0}, &consumed, &id), FRAME_INCOMPLETE);
}

} // namespace
