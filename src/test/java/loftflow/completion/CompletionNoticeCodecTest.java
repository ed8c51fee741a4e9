package loftflow.completion;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loftflow.engine.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The JSON encoding of completions (PROTOCOL, Notices): {@code ref}, {@code result} and, for a rejected message,
 * {@code wait_ms}.
 */
class CompletionNoticeCodecTest {
    private static Message completed(Message.Completion.Kind kind, long retryAfterMicros) {
        Message message =
                new Message(1, new Message.Content("9b1f03aa5c7e2d41", "settlement", null, null, 0, 7, new byte[0]));
        message.complete(new Message.Completion(kind, retryAfterMicros));
        return message;
    }

    /** Only the notice of a rejected message contains a Retry-After time, in whole milliseconds. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "FAILED    | 0       | \"result\":\"dead\"",
                "FAILED    | 500999 | \"result\":\"dead\"",
                "REJECTED  | 0       | \"result\":\"bounced\"",
                "REJECTED  | 500999 | \"result\":\"bounced\",\"wait_ms\":500",
                "DELIVERED | 0       | \"result\":\"done\""
            })
    void noticeContainsMessageIdAndResult(Message.Completion.Kind kind, long retryAfterMicros, String result) {
        assertEquals(
                "{\"ref\":\"9b1f03aa5c7e2d41\"," + result + "}\n",
                CompletionNoticeCodec.notice(completed(kind, retryAfterMicros)));
    }

    @Test
    void logLineAlsoContainsClassDestinationAndAttempts() {
        Message message = completed(Message.Completion.Kind.REJECTED, 500_000);
        message.addAttempt("h1", 5);
        assertEquals(
                "{\"ref\":\"9b1f03aa5c7e2d41\",\"class\":\"settlement\",\"dest\":7,\"result\":\"bounced\","
                        + "\"wait_ms\":500,\"attempts\":1}\n",
                CompletionNoticeCodec.logLine(message));
    }
}
