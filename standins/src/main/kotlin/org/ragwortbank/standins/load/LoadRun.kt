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

/** Streamed requests by several callers at a set rate, or as fast as answers come when [rate] is zero. */
class LoadRun(
    private val target: Address,
    private val call: HttpCall,
    private val callers: Int,
    private val rate: Int,
    private val length: Duration,
) {
    private val first = ConcurrentHistogram(DIGITS)
    private val whole = ConcurrentHistogram(DIGITS)
    private val answered = AtomicLong()
    private val failed = AtomicLong()

    /** Runs to its end. */
    fun run(): LoadResult = runBlocking(Dispatchers.Default) {
        val begin = System.nanoTime()
        (0 until callers).map { number -> async { callRepeatedly(begin, number) } }.awaitAll()
        LoadResult(answered.get(), failed.get(), (System.nanoTime() - begin) / NANOS_PER_SECOND, first, whole)
    }

    /** The callers begin one after the other, so that their requests are spread evenly. */
    private suspend fun callRepeatedly(begin: Long, number: Int) {
        val pause = if (rate == 0) Duration.ZERO else (callers * MICROS_PER_SECOND / rate).microseconds
        var due = begin + pause.inWholeNanoseconds * number / callers
        awaitTime(due)
        while (System.nanoTime() - begin < length.inWholeNanoseconds) {
            callOnce()
            due += pause.inWholeNanoseconds
            awaitTime(due)
        }
    }

    private suspend fun awaitTime(due: Long) {
        val wait = (due - System.nanoTime()) / NANOS_PER_MICRO
        if (wait > 0) delay(wait.microseconds)
    }

    private suspend fun callOnce() {
        val listener = suspendCancellableCoroutine { continuation ->
            BlockingHttp.client.open(target, call, Timing(System.nanoTime()) { continuation.resume(it) })
        }
        if (listener.succeeded) {
            answered.incrementAndGet()
            first.recordValue(listener.firstMicros)
            whole.recordValue(listener.wholeMicros)
        } else {
            failed.incrementAndGet()
        }
    }

    private class Timing(private val begin: Long, private val done: (Timing) -> Unit) : HttpListener {
        var succeeded = false
            private set
        var firstMicros = 0L
            private set
        var wholeMicros = 0L
            private set

        override fun onHead(head: HttpHead) {
            succeeded = head.status == OK
        }

        override fun onContent(bytes: ByteArray) {
            if (firstMicros == 0L) firstMicros = elapsed()
        }

        override fun onCompleted() {
            wholeMicros = elapsed()
            done(this)
        }

        override fun onFailure(wasConnected: Boolean, cause: String) {
            succeeded = false
            done(this)
        }

        private fun elapsed(): Long = (System.nanoTime() - begin) / NANOS_PER_MICRO
    }

    companion object {
        private const val DIGITS = 3
        private const val OK = 200
        private const val NANOS_PER_MICRO = 1_000
        private const val MICROS_PER_SECOND = 1_000_000
        private const val NANOS_PER_SECOND = 1e9

        /** A streamed completion of [tokens] tokens by [model]. */
        fun completion(model: String, key: String, tokens: Int): HttpCall {
            val body = """{"model":"$model","prompt":"a lesson?","max_tokens":$tokens,"stream":true}"""
            val headers = listOf(Header("Content-Type", "application/json"), Header("Authorization", "Bearer $key"))
            return HttpCall("POST", "/v1/completions", headers.toPersistentList(), body.encodeToByteArray())
        }
    }
}
