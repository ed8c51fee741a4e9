package loftflow.upstream.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.http.ConnectionTimer;
import loftflow.http.UnreadBytes;

/**
 * A connection to a host. It carries one call at a time and is reused only after a complete response that is followed
 * by no other bytes. A connection that is not reused any more is retired: it is still read while an outcome that was
 * taken from one of its responses can be contradicted, see {@link ResponseLedger}.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
        implements CallConnection, RetirementCheck.Connection {
    /** A response that has begun is given up if nothing more of it arrives for so long. */
    private static final long MAX_RESPONSE_PAUSE_MICROS = 500_000;

    private final UpstreamConnectionOwner owner;
    private final ResponseDecoder decoder;
    private final ResponseLedger<UpstreamCall> ledger;
    private final OutcomeDoubts doubts;
    private final UnnamedBatch unnamedBatch = new UnnamedBatch();
    private final RejectedMessageIds rejectedIds = new RejectedMessageIds();
    private final ResponseFingerprint fingerprint = new ResponseFingerprint();
    private final CopyDetector copies;
    private ChannelHandlerContext context;
    /** The call that awaits its complete response; null if there is none. */
    private UpstreamCall call;

    private final ResponseConfirmation confirmation = new ResponseConfirmation();

    private int callCount;
    private long sentAtMicros;
    private boolean isReusable;
    private boolean isInformational;
    private boolean isResponseComplete;
    /** True if the call has timed out and the connection only awaits its late response. */
    private boolean isAwaitingLateResponse;
    /** Why it carries no more calls; null while it may. */
    private ConnectionCloseReason retireReason;
    /** Why this relay closed it; null while it has not. */
    private ConnectionCloseReason closeReason;

    private final ConnectionQuiet quiet = new ConnectionQuiet();
    private final ConnectionTimer timer;
    private final RetirementCheck retirementCheck;

    UpstreamConnection(UpstreamConnectionOwner owner) {
        this.owner = owner;
        decoder = new ResponseDecoder(
                owner.responseMemory().openAccount(),
                () -> unnamedBatch.heldBytes() + (call == null ? 0 : call.responseBodyBytes()));
        ledger = new ResponseLedger<>(owner.revocableMemory().openAccount());
        doubts = new OutcomeDoubts(ledger);
        copies = new CopyDetector(owner.responseVariety());
        timer = new ConnectionTimer((nanos, task) -> owner.schedule(TimeUnit.NANOSECONDS.toMicros(nanos), task));
        retirementCheck = new RetirementCheck(owner, ledger, timer, this);
    }

    /** Returns the handlers of the channel's pipeline, in order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpRequestEncoder(), decoder, this};
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Returns whether the connection has not carried any call. */
    boolean isNew() {
        return callCount == 0;
    }

    /** Writes a call. It counts as sent, and may be executed, once its last byte has been written. */
    void send(UpstreamCall next) {
        timer.stop();
        call = next;
        confirmation.onSent();
        callCount++;
        sentAtMicros = owner.nowMicros();
        HostResponseTimes times = owner.responseTimes();
        long latestDueMicros =
                Math.min(next.pendingAttempts().latestTimeoutMicros(), sentAtMicros + times.boundMicros());
        ledger.onSent(sentAtMicros, sentAtMicros + times.usualBoundMicros(), latestDueMicros);
        isReusable = false;
        decoder.awaitResponse();
        next.onConnectionAssigned(this);
        context.writeAndFlush(next.createRequest()).addListener(written -> {
            if (written.isSuccess()) {
                quiet.onActivity();
                next.onSent();
            } else {
                close(ConnectionCloseReason.WRITE_FAILED);
            }
        });
    }

    @Override
    public void awaitLateResponse() {
        isAwaitingLateResponse = true;
        timer.start(
                owner.onAwaitingLateResponse(this),
                TimeUnit.MICROSECONDS,
                () -> close(ConnectionCloseReason.CALL_ABANDONED));
    }

    @Override
    public int receivedStatus() {
        return Math.max(0, decoder.status());
    }

    @Override
    public boolean hasRejected(String messageId) {
        return rejectedIds.contains(messageId);
    }

    @Override
    public void onRejected(String messageId) {
        rejectedIds.add(messageId);
    }

    /**
     * Closes the connection after it has been idle for the given time. A call that is assigned to it but not sent does
     * not restart the idle time.
     */
    void closeAfterIdle(long idleTimeoutMicros) {
        Runnable retireIdle = () -> retire(ConnectionCloseReason.IDLE_TIMEOUT);
        timer.start(quiet.idleInNanos(idleTimeoutMicros), TimeUnit.NANOSECONDS, retireIdle);
    }

    /**
     * Returns whether a call may be sent. The check does not rely on the idle timer, which may be late. It reads a
     * pending end of stream first, because a call sent while the host closes the connection ends as a reset and may
     * have been executed.
     */
    boolean isUsable(long idleTimeoutMicros) {
        readPending();
        return retireReason == null
                && context.channel().isActive()
                && !decoder.hasLeftover()
                && quiet.idleInNanos(idleTimeoutMicros) > 0;
    }

    @Override
    public void readPending() {
        UnreadBytes.read(context.channel());
    }

    @Override
    public void readAtTimeout() {
        readPending();
        if (confirmation.isMatched()) {
            onHoldEnded();
        }
    }

    /** Returns whether a rejection may not prove that its call was not executed, as an earlier one was equal. */
    boolean mayRepeatRejection() {
        return copies.mayRepeatRejection();
    }

    /** Returns the time in nanoseconds until the connection has been quiet for the reuse delay; 0 or less if it has. */
    long quietInNanos() {
        return isNew() ? 0 : owner.reuseDelayNanos() - quiet.sinceResponseNanos();
    }

    /** Returns whether the connection has been quiet for the whole reuse delay, whatever room the host has. */
    boolean isFullyQuiet() {
        return isNew() || quiet.sinceResponseNanos() >= owner.fullReuseDelayNanos();
    }

    /** Reports the connection as reusable once it has been quiet for the reuse delay. */
    void becomeReusableOnceQuiet() {
        becomeReusableOnceQuiet(owner.idleClosures());
    }

    private void becomeReusableOnceQuiet(int idleClosuresBefore) {
        timer.start(Math.max(0, quietInNanos()), TimeUnit.NANOSECONDS, () -> becomeReusable(idleClosuresBefore));
    }

    /** Carries no more calls; closes at once unless an outcome of its calls can be contradicted. */
    void retire(ConnectionCloseReason reason) {
        if (!isNeeded() || !context.channel().isActive()) {
            close(reason);
            return;
        }
        retireReason = retireReason == null ? reason : retireReason;
        owner.onRetired(this, true);
        if (!confirmation.isPending()) {
            retirementCheck.start();
        }
    }

    /** Returns whether a response may still come that contradicts an outcome. */
    boolean isNeeded() {
        return confirmation.isPending() || retirementCheck.isNeeded();
    }

    @Override
    public void closeRetired() {
        close(retireReason);
    }

    @Override
    public void close(ConnectionCloseReason reason) {
        retireReason = retireReason == null ? reason : retireReason;
        closeReason = closeReason == null ? reason : closeReason;
        // Notify the owner first, so that it does not select the connection while it is being closed.
        owner.onRetired(this, false);
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        quiet.onActivity();
        if (call == null) {
            onUnsolicited(message);
            return;
        }
        if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            call.onRetryAfter(response);
        }
        // A request that was not completely written when its response arrived has not been executed.
        if (!call.isSent()) {
            fail(UpstreamCall::onConnectionLost, ConnectionCloseReason.UNSOLICITED_RESPONSE);
            return;
        }
        if (message.decoderResult().isFailure() || decoder.isMalformed()) {
            failAsMalformed();
            return;
        }
        boolean isRefused = message instanceof HttpResponse response && !readHead(response);
        if (!isRefused && message instanceof HttpContent content && !isInformational) {
            readContent(content);
        }
    }

    /**
     * Handles a response to no call: later responses can't be matched to calls. It may be the own response of an
     * earlier call, whose outcome another response has determined.
     */
    private void onUnsolicited(HttpObject message) {
        unnamedBatch.onUnsolicited(message);
        if (message.decoderResult().isFailure() || decoder.isMalformed()) {
            closeOnSurplusBytes();
        } else if (message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            onUnsolicitedResponse(response);
        }
        if (message instanceof LastHttpContent) {
            decoder.awaitResponse();
        }
    }

    private void onUnsolicitedResponse(HttpResponse response) {
        int status = response.status().code();
        owner.onUnsolicitedResponse(status, quiet.sinceResponseNanos(), CallResponse.retryAfterMicros(response));
        ledger.onSurplus(status).forEach(ended -> ended.onContradicted(ledger.mayBeDelivered(ended)));
        confirmation.onSurplusResponse(status);
        retire(ConnectionCloseReason.UNSOLICITED_RESPONSE);
    }

    /** Reads the head of a response; returns false if it made the call fail. */
    private boolean readHead(HttpResponse response) {
        isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        // A head that began before the call was written is not a response to it.
        boolean isAwaited = isInformational || response.status().code() == decoder.status();
        if (!isAwaited || !ResponseDecoder.hasSupportedFraming(response, call.isBatch())) {
            failAsMalformed();
            return false;
        }
        if (!isInformational) {
            isReusable = HttpUtil.isKeepAlive(response);
            fingerprint.begin(response);
            call.onHead(response);
        }
        return true;
    }

    private void readContent(HttpContent content) {
        fingerprint.add(content.content());
        if (!call.onBody(content.content())) {
            failAsMalformed();
        } else if (content instanceof LastHttpContent) {
            onLastContent();
        }
    }

    private void onLastContent() {
        call.readStates();
        boolean isCopy = !call.isProbe() && copies.isCopy(decoder.status(), fingerprint.value());
        if (!isCopy && !call.isResponseOfAnotherCall()) {
            onResponseComplete();
            return;
        }
        if (isCopy) {
            copies.onCopyIgnored(decoder.status());
        }
        ignoreCopy();
    }

    /** Goes on awaiting the response to the call, as the one that was received is a copy of an earlier one. */
    private void ignoreCopy() {
        if (!isAwaitingLateResponse) {
            timer.stop();
        }
        owner.onUnsolicitedResponse(decoder.status(), quiet.sinceResponseNanos(), 0);
        call.ignoreResponse();
        decoder.awaitResponseInLeftover();
    }

    private void onResponseComplete() {
        UpstreamCall completed = call;
        call = null;
        completed.outstandingMessages().clear();
        quiet.onResponse();
        isResponseComplete = true;
        owner.responseTimes().onResponse(owner.nowMicros(), owner.nowMicros() - sentAtMicros);
        boolean isRepeated = copies.isRepeated(fingerprint.value());
        boolean isProof = isNamed(completed) || ledger.isProof(isRepeated);
        copies.onResponse(decoder.status(), fingerprint.value(), !completed.isProbe() && !completed.isBatch());
        record(completed, isNamed(completed), isRepeated);
        if (completed.isRetryableRejection()) {
            copies.onRejection(decoder.status());
        }
        doubts.onResponse(completed);
        unnamedBatch.onEnded(completed);
        confirmation.onResponseComplete(completed, decoder.status(), isProof);
        decoder.awaitResponse();
    }

    private void record(UpstreamCall ended, boolean isNamed, boolean isRepeated) {
        PendingAttempts limits = ended.pendingAttempts();
        ledger.onResponse(
                ended, decoder.status(), isNamed, isRepeated, limits.latestDeadlineMicros(), limits.sizeBytes());
    }

    /** Returns whether the response can only be the one to its call; one that announces the end has no copy before. */
    private boolean isNamed(UpstreamCall completed) {
        return completed.isNamedInResponse() || !isReusable && ledger.isInStep();
    }

    /** Lets a held response take effect: nothing that would contradict it has come in time. */
    private void onHoldEnded() {
        readPending();
        if (confirmation.isPending() && context.channel().isActive()) {
            confirmation.confirm();
            reuseOrClose();
        }
    }

    private void failAsMalformed() {
        fail(malformed -> malformed.onMalformedResponse(decoder.status()), ConnectionCloseReason.MALFORMED_RESPONSE);
    }

    /** Ends the current call, if any, in the given way and closes the connection. */
    private void fail(Consumer<UpstreamCall> endCall, ConnectionCloseReason reason) {
        UpstreamCall failed = call;
        call = null;
        if (failed != null) {
            failed.outstandingMessages().clear();
            endCall.accept(failed);
        }
        if (failed != null && failed.isEndedByStatus()) {
            record(failed, false, copies.hasReceived());
        }
        close(reason);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (call == null && decoder.hasLeftover()) {
            closeOnSurplusBytes();
        } else if (isResponseComplete) {
            isResponseComplete = false;
            confirmOrHold();
        } else if (call != null && decoder.status() == ResponseHeadScanner.STATUS_MALFORMED) {
            failAsMalformed();
        } else if (call != null && decoder.hasBegun()) {
            awaitRest();
            if (!copies.canRecognize(decoder.status())) {
                call.onStatusLine(decoder.status());
            }
        }
    }

    /** Restarts the timer of a response that has begun if more of it has arrived. */
    private void awaitRest() {
        if (decoder.takeReceived() && !isAwaitingLateResponse) {
            timer.start(MAX_RESPONSE_PAUSE_MICROS, TimeUnit.MICROSECONDS, this::onResponseStalled);
        }
    }

    /** Gives up a response, unless more of it has arrived that the event loop has not read. */
    private void onResponseStalled() {
        UpstreamCall stalled = call;
        readPending();
        if (call != null && call == stalled && !timer.isRunning()) {
            failAsMalformed();
        }
    }

    private void closeOnSurplusBytes() {
        doubts.onStrayBytes();
        confirmation.onSurplusBytes();
        close(ConnectionCloseReason.MALFORMED_RESPONSE);
    }

    /** Lets the response that ended the latest read take effect, at once or after the time in which more may follow. */
    private void confirmOrHold() {
        if (!confirmation.mustHold()) {
            confirmation.confirm();
            reuseOrClose();
            return;
        }
        long holdNanos = confirmation.isMatched()
                ? owner.fullReuseDelayNanos()
                : TimeUnit.MICROSECONDS.toNanos(owner.responseTimes().boundMicros());
        timer.start(holdNanos, TimeUnit.NANOSECONDS, this::onHoldEnded);
    }

    private void reuseOrClose() {
        if (retireReason != null) {
            retire(retireReason);
        } else if (!isReusable || !context.channel().isActive()) {
            close(ConnectionCloseReason.NOT_PERSISTENT);
        } else if (doubts.isOutOfStep()) {
            retire(ConnectionCloseReason.UNSOLICITED_RESPONSE);
        } else if (isAwaitingLateResponse) {
            retire(ConnectionCloseReason.CALL_ABANDONED);
        } else if (owner.isSingleUse()) {
            retire(ConnectionCloseReason.SINGLE_USE);
        } else if (!owner.offerIdle(this)) {
            becomeReusableOnceQuiet();
        }
    }

    /** Reports the connection as reusable, unless the idle connections to the host were retired in the meantime. */
    private void becomeReusable(int idleClosuresBefore) {
        readPending();
        if (retireReason != null || !context.channel().isActive()) {
            return;
        }
        if (idleClosuresBefore != owner.idleClosures()) {
            retire(ConnectionCloseReason.OTHER_CALL_FAILED);
        } else if (owner.isSingleUse()) {
            retire(ConnectionCloseReason.SINGLE_USE);
        } else if (quietInNanos() <= 0) {
            owner.onReusable(this);
        } else {
            becomeReusableOnceQuiet(idleClosuresBefore);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timer.end();
        copies.onEnd();
        if (call != null) {
            fail(UpstreamCall::onConnectionLost, ConnectionCloseReason.CLOSED_BY_HOST);
        }
        closeReason = closeReason == null ? ConnectionCloseReason.CLOSED_BY_HOST : closeReason;
        retireReason = retireReason == null ? closeReason : retireReason;
        owner.onRetired(this, false);
        boolean wasEvicted = closeReason == ConnectionCloseReason.EVICTED;
        List<UpstreamCall> unconfirmed = doubts.findUnconfirmed(owner.nowMicros(), owner.isSingleUse(), wasEvicted);
        unconfirmed.forEach(UpstreamCall::onOutcomeContradicted);
        confirmation.onEnd(closeReason == ConnectionCloseReason.CLOSED_BY_HOST);
        ledger.release();
        owner.onConnectionEnded(retireReason, closeReason, callCount, unconfirmed.size());
    }

    /**
     * Ends the call after a connection error. Unlike a regular close, a reset never delimits a response body. If a
     * response had begun, the call ends as malformed, since the host was reached; otherwise as a lost connection.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (call != null && decoder.hasBegun()) {
            failAsMalformed();
        } else {
            fail(UpstreamCall::onConnectionLost, ConnectionCloseReason.CONNECTION_ERROR);
        }
    }
}
