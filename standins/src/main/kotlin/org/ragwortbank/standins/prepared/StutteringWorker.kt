package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.clients.http.Address
import java.io.BufferedReader
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.time.Duration

/**
 * One run of a request at a [StutteringWorker], with what was written in answer to it.
 *
 * @property written the writes, in their order, each with the connection's number before it
 */
data class WorkerRun(
    val requestId: String,
    val signature: String,
    val plan: AnswerPlan,
    val written: PersistentList<String> = persistentListOf(),
)

/**
 * Stand-in for a worker that writes answers to plan, byte by byte, and may write a second one to a request.
 *
 * @property usual how requests are answered for which nothing is planned
 */
class StutteringWorker(private val id: String, private val usual: AnswerPlan = AnswerPlan()) {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val plans = AtomicReference<PersistentMap<String, AnswerPlan>>(persistentMapOf())
    private val runsBySignature = AtomicReference<PersistentMap<String, WorkerRun>>(persistentMapOf())
    private val connectionCount = AtomicInteger()

    /** The runs so far by their signatures. */
    val runs: PersistentMap<String, WorkerRun> get() = runsBySignature.get()

    /** Starts and returns the address. */
    fun start(): Address {
        thread(isDaemon = true, name = id) { accept() }
        return Address("127.0.0.1", server.localPort)
    }

    /** Closes the socket on which it listens. */
    fun stop() = server.close()

    /** Sets how the request [requestId] is answered; others are answered as usual. */
    fun plan(requestId: String, plan: AnswerPlan) {
        plans.updateAndGet { it.put(requestId, plan) }
    }

    private fun accept() {
        try {
            while (true) {
                val socket = server.accept()
                socket.tcpNoDelay = true
                thread(isDaemon = true, name = "$id-connection") { serve(socket) }
            }
        } catch (_: IOException) {
            server.close()
        }
    }

    private fun serve(socket: Socket) {
        try {
            socket.use { Connection(it).serve() }
        } catch (_: IOException) {
            socket.close()
        }
    }

    private inner class Connection(socket: Socket) {
        private val number = connectionCount.incrementAndGet()
        private val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        private val output = socket.getOutputStream()
        private var before = ""
        private var after = ""

        fun serve() {
            while (true) {
                val requestId = reader.readRequestId() ?: return
                val plan = plans.get()[requestId] ?: usual
                if (!answer(requestId, plan)) return
            }
        }

        private fun answer(requestId: String, plan: AnswerPlan): Boolean {
            val signature = "$id-${runs.size}"
            runsBySignature.updateAndGet { it.put(signature, WorkerRun(requestId, signature, plan)) }
            val second = plan.second?.encode(requestId, signature).orEmpty()
            val time = plan.secondTime
            val early = if (time == SecondAnswerTime.After(Duration.ZERO)) second.length else plan.earlyBytes
            val first = before + plan.first.encode(requestId, signature) + after
            before = ""
            after = ""
            output.write(signature, first + second.take(early))
            val rest = second.drop(early)
            when (time) {
                is SecondAnswerTime.After -> writeLater(signature, rest, time.delay)
                SecondAnswerTime.BeforeNextAnswer -> before = rest
                SecondAnswerTime.AfterNextAnswer -> after = rest
            }
            return !plan.endsConnection()
        }

        private fun writeLater(signature: String, rest: String, delay: Duration) {
            if (rest.isEmpty()) return
            Thread.sleep(delay.inWholeMilliseconds)
            output.write(signature, rest)
        }

        private fun OutputStream.write(signature: String, text: String) {
            if (text.isEmpty()) return
            runsBySignature.updateAndGet { runs ->
                val run = runs.getValue(signature)
                runs.put(signature, run.copy(written = run.written.add("$number: $text")))
            }
            write(text.toByteArray(Charsets.ISO_8859_1))
            flush()
        }
    }

    private fun AnswerPlan.endsConnection(): Boolean =
        (first as? AnswerForm.Complete)?.framing == AnswerForm.Framing.END_OF_CONNECTION

    private fun BufferedReader.readRequestId(): String? {
        val lines = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        if (lines.isEmpty()) return null
        repeat(lines.field("content-length")?.toInt() ?: 0) { read() }
        return lines.field("x-request-id").orEmpty()
    }

    private fun List<String>.field(name: String): String? =
        firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()

    private companion object {
        const val BACKLOG = 50
    }
}
