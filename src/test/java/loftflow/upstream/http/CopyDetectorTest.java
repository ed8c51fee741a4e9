package loftflow.upstream.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which responses are recognized as copies of earlier ones. */
class CopyDetectorTest {
    private final ResponseVariety variety = new ResponseVariety();
    private final CopyDetector copies = new CopyDetector(variety);

    private void receive(int status, long... fingerprints) {
        for (long fingerprint : fingerprints) {
            copies.onResponse(status, fingerprint, true);
        }
    }

    @Test
    void repeatedResponseIsACopyWhereAllDiffer() {
        receive(200, 1, 2, 3, 4);
        assertTrue(copies.isCopy(200, 2));
        assertFalse(copies.isCopy(200, 5));
    }

    @Test
    void repeatedResponseIsNoCopyBeforeEnoughResponsesDiffered() {
        receive(200, 1, 2, 3);
        assertFalse(copies.isCopy(200, 2));
    }

    @Test
    void responsesAreComparedByStatus() {
        receive(200, 1, 2, 3, 4);
        receive(503, 9);
        assertFalse(copies.isCopy(503, 9));
        assertTrue(copies.isRepeated(9));
    }

    /** Two connections with equal responses show that the host repeats them: copies stay on their connection. */
    @Test
    void equalResponsesOnTwoConnectionsAreNoCopies() {
        receive(200, 1, 2, 3, 4);
        new CopyDetector(variety).onResponse(200, 4, true);
        assertFalse(copies.isCopy(200, 2));
    }

    @Test
    void equalResponsesToOtherCallsDoNotMakeACopyBelieved() {
        receive(200, 1, 2, 3, 4);
        copies.onResponse(200, 9, false);
        new CopyDetector(variety).onResponse(200, 9, false);
        assertTrue(copies.isCopy(200, 2));
        assertTrue(copies.isCopy(200, 9));
    }

    /** Responses to batches differ as they name messages; a host may answer all single messages alike. */
    @Test
    void distinctResponsesToBatchesDoNotMakeAResponseToAMessageACopy() {
        for (long fingerprint = 1; fingerprint <= 5; fingerprint++) {
            copies.onResponse(200, fingerprint, false);
        }
        receive(200, 9);
        assertFalse(copies.isCopy(200, 9));
    }

    @Test
    void rejectionMayRepeatWhereTheHostSendsOneAlone() {
        receive(503, 1);
        copies.onRejection(503);
        assertTrue(copies.mayRepeatRejection());
        receive(503, 2);
        assertFalse(copies.mayRepeatRejection());
    }

    @Test
    void unconfirmedCopiesAreBelievedUnlessOneWasConfirmed() {
        receive(200, 1, 2, 3, 4);
        copies.onCopyIgnored(200);
        copies.onEnd();
        assertTrue(copies.isCopy(200, 2));
        copies.onEnd();
        assertFalse(copies.isCopy(200, 2));
    }

    @Test
    void silenceBehindAConfirmedCopyDoesNotMakeTheNextOneBelieved() {
        receive(200, 1, 2, 3, 4);
        copies.onCopyIgnored(200);
        receive(200, 5);
        for (int i = 0; i < 5; i++) {
            copies.onCopyIgnored(200);
            copies.onEnd();
        }
        assertTrue(copies.isCopy(200, 2));
    }
}
