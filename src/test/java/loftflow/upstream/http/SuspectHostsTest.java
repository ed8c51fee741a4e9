package loftflow.upstream.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests which hosts are expected to send responses to no call, on a clock that the test advances. */
class SuspectHostsTest {
    private final AtomicLong nowNanos = new AtomicLong();
    private final SuspectHosts hosts = new SuspectHosts(nowNanos::get);

    @Test
    void oneHostMakesNoOtherSuspect() {
        hosts.onUnsolicitedResponse("a");
        hosts.onUnsolicitedResponse("a");
        assertTrue(hosts.isSuspect("a"));
        assertFalse(hosts.isSuspect("b"));
        assertFalse(hosts.isWidespread());
    }

    @Test
    void twoHostsWithinAMinuteAreWidespread() {
        hosts.onUnsolicitedResponse("a");
        nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(59));
        hosts.onUnsolicitedResponse("b");
        assertTrue(hosts.isWidespread());
        nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertFalse(hosts.isWidespread());
        assertFalse(hosts.isSuspect("a"));
        assertTrue(hosts.isSuspect("b"));
    }
}
