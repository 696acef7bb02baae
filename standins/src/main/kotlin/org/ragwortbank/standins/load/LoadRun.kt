package org.ragwortbank.standins.load

import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.suspendCancellableCoroutine
import org.HdrHistogram.ConcurrentHistogram
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpHead
import org.ragwortbank.clients.http.HttpListener
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.fleet.BlockingHttp
import java.util.concurrent.atomic.AtomicLong
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Sends streaming requests from several concurrent callers for [duration].
 *
 * @property callerCount number of callers; each has one request under way at a time
 * @property requestsPerSecond rate of all callers together; zero makes each caller send its next request at once
 */
class LoadRun(
    private val target: Address,
    private val call: HttpCall,
    private val callerCount: Int,
    private val requestsPerSecond: Int,
    private val duration: Duration,
) {
    private val timeToFirstChunk = ConcurrentHistogram(SIGNIFICANT_DIGITS)
    private val timeToCompletion = ConcurrentHistogram(SIGNIFICANT_DIGITS)
    private val answered = AtomicLong()
    private val failed = AtomicLong()

    /** Sends requests until [duration] has passed and returns the result. */
    fun run(): LoadResult = runBlocking(Dispatchers.Default) {
        val startNanos = System.nanoTime()
        (0 until callerCount).map { callerIndex -> async { callRepeatedly(startNanos, callerIndex) } }.awaitAll()
        LoadResult(
            answered.get(),
            failed.get(),
            (System.nanoTime() - startNanos) / NANOS_PER_SECOND,
            timeToFirstChunk,
            timeToCompletion,
        )
    }

    /** Callers start staggered over one interval, so that requests are spread evenly over time. */
    private suspend fun callRepeatedly(startNanos: Long, callerIndex: Int) {
        val interval =
            if (requestsPerSecond == 0) {
                Duration.ZERO
            } else {
                (callerCount * MICROS_PER_SECOND / requestsPerSecond).microseconds
            }
        var callAtNanos = startNanos + interval.inWholeNanoseconds * callerIndex / callerCount
        delayUntil(callAtNanos)
        while (System.nanoTime() - startNanos < duration.inWholeNanoseconds) {
            callOnce()
            callAtNanos += interval.inWholeNanoseconds
            delayUntil(callAtNanos)
        }
    }

    private suspend fun delayUntil(callAtNanos: Long) {
        val remainingMicros = (callAtNanos - System.nanoTime()) / NANOS_PER_MICRO
        if (remainingMicros > 0) delay(remainingMicros.microseconds)
    }

    private suspend fun callOnce() {
        val listener = suspendCancellableCoroutine { continuation ->
            BlockingHttp.client.open(target, call, TimingListener(System.nanoTime()) { continuation.resume(it) })
        }
        if (listener.hasSucceeded) {
            answered.incrementAndGet()
            timeToFirstChunk.recordValue(listener.firstChunkMicros)
            timeToCompletion.recordValue(listener.completionMicros)
        } else {
            failed.incrementAndGet()
        }
    }

    private class TimingListener(
        private val startNanos: Long,
        private val onDone: (TimingListener) -> Unit,
    ) : HttpListener {
        var hasSucceeded = false
            private set
        var firstChunkMicros = 0L
            private set
        var completionMicros = 0L
            private set

        override fun onHead(head: HttpHead) {
            hasSucceeded = head.status == OK
        }

        override fun onContent(bytes: ByteArray) {
            if (firstChunkMicros == 0L) firstChunkMicros = elapsedMicros()
        }

        override fun onCompleted() {
            completionMicros = elapsedMicros()
            onDone(this)
        }

        override fun onFailure(wasConnected: Boolean, cause: String) {
            hasSucceeded = false
            onDone(this)
        }

        private fun elapsedMicros(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MICRO
    }

    companion object {
        private const val SIGNIFICANT_DIGITS = 3
        private const val OK = 200
        private const val NANOS_PER_MICRO = 1_000
        private const val MICROS_PER_SECOND = 1_000_000
        private const val NANOS_PER_SECOND = 1e9

        /** Builds a call for a streaming completion of at most [tokens] tokens by [model]. */
        fun completionCall(model: String, apiKey: String, tokens: Int): HttpCall {
            val body = """{"model":"$model","prompt":"a lesson?","max_tokens":$tokens,"stream":true}"""
            val headers = listOf(Header("Content-Type", "application/json"), Header("Authorization", "Bearer $apiKey"))
            return HttpCall("POST", "/v1/completions", headers.toPersistentList(), body.encodeToByteArray())
        }
    }
}
