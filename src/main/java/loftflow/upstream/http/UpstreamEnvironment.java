package loftflow.upstream.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.util.Map;
import loftflow.engine.Clock;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.memory.MemoryBudget;

/**
 * Dependencies and settings shared by the pools of all hosts.
 *
 * @param bootstrap connects sockets, with the connect timeout
 * @param connectTimeoutMicros the time allowed for establishing a connection, and again for a handshake on it
 * @param idleTimeoutMicros the idle time after which a connection is closed and no longer used
 * @param lateResponseMicros how long a late response is awaited after a timeout; 0 to not await it
 * @param reuseDelayNanos see {@link ReuseDelay}
 * @param suspectHosts the hosts that have sent a response to no call
 * @param closeLog logs why connections were closed
 * @param openCalls the call of each attempt without an outcome
 * @param outstandingCalls the calls that may still execute each message
 * @param responseMemory limits responses that hosts have sent in part
 * @param revocableMemory limits messages that are kept to correct their outcome
 */
record UpstreamEnvironment(
        EventLoop loop,
        Clock clock,
        Bootstrap bootstrap,
        long connectTimeoutMicros,
        long idleTimeoutMicros,
        long lateResponseMicros,
        ConnectionRegistry connections,
        long reuseDelayNanos,
        SuspectHosts suspectHosts,
        ConnectionCloseLog closeLog,
        Map<Message.Attempt, UpstreamCall> openCalls,
        OutstandingCalls outstandingCalls,
        MemoryBudget responseMemory,
        MemoryBudget revocableMemory,
        UpstreamClient.ResultListener results) {}
