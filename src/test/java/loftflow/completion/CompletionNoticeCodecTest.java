package loftflow.completion;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loftflow.engine.Message;
import org.junit.jupiter.api.Test;

/** The protocol's form of completions (PROTOCOL, Notices). */
class CompletionNoticeCodecTest {
    private static Message completed(Message.Completion.Kind kind, long retryAfterMicros) {
        Message message =
                new Message(1, new Message.Content("9b1f03aa5c7e2d41", "settlement", null, null, 0, 7, new byte[0]));
        message.complete(new Message.Completion(kind, retryAfterMicros));
        return message;
    }

    @Test
    void noticeHoldsMessageAndResult() {
        assertEquals(
                "{\"ref\":\"9b1f03aa5c7e2d41\",\"result\":\"dead\"}\n",
                CompletionNoticeCodec.notice(completed(Message.Completion.Kind.FAILED, 0)));
        assertEquals(
                "{\"ref\":\"9b1f03aa5c7e2d41\",\"result\":\"bounced\"}\n",
                CompletionNoticeCodec.notice(completed(Message.Completion.Kind.REJECTED, 0)));
        assertEquals(
                "{\"ref\":\"9b1f03aa5c7e2d41\",\"result\":\"done\"}\n",
                CompletionNoticeCodec.notice(completed(Message.Completion.Kind.DELIVERED, 0)));
    }

    @Test
    void onlyARejectionHoldsATimeToRetryAfter() {
        assertEquals(
                "{\"ref\":\"9b1f03aa5c7e2d41\",\"result\":\"bounced\",\"wait_ms\":500}\n",
                CompletionNoticeCodec.notice(completed(Message.Completion.Kind.REJECTED, 500_999)));
        assertEquals(
                "{\"ref\":\"9b1f03aa5c7e2d41\",\"result\":\"dead\"}\n",
                CompletionNoticeCodec.notice(completed(Message.Completion.Kind.FAILED, 500_999)));
    }

    @Test
    void logLineHoldsClassDestinationAndAttemptsToo() {
        Message message = completed(Message.Completion.Kind.REJECTED, 500_000);
        message.addAttempt("h1", 5);
        assertEquals(
                "{\"ref\":\"9b1f03aa5c7e2d41\",\"class\":\"settlement\",\"dest\":7,\"result\":\"bounced\","
                        + "\"wait_ms\":500,\"attempts\":1}\n",
                CompletionNoticeCodec.logLine(message));
    }
}
