package org.ragwortbank.standins.prepared

import io.netty.channel.EventLoopGroup
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.JsonObject
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stand-in for a worker of the prepared platform. It streams a generation for requests that name a model, responds as a
 * plain service to all others, and records the ids of the requests that it executed.
 */
class WorkerStandIn(group: EventLoopGroup, private val id: String, model: String?) {
    private val server = StandInServer(group, ::handle)
    private val state = AtomicReference(WorkerState(model = model))
    private val executedIds = AtomicReference<PersistentList<String>>(persistentListOf())
    private val rejectedIds = AtomicReference<PersistentList<String>>(persistentListOf())

    /** What it says of itself with each answer from now on. */
    val behaviour = AtomicReference(WorkerBehaviour())

    /** Listens on [port], or on a free one if it is zero, and returns the address. */
    fun start(port: Int = 0): Address = server.start(port)

    /** Closes all connections, as the end of a process does, and listens again at once. */
    fun restart() = server.closeConnections()

    /** Ids of the executed requests, in the order in which they arrived. */
    val executedRequestIds: List<String> get() = executedIds.get()

    /** Ids of the requests that were turned away, in the order in which they arrived. */
    val rejectedRequestIds: List<String> get() = rejectedIds.get()

    /** The current state. */
    val currentState: WorkerState get() = state.get()

    private fun handle(request: StandInRequest, responder: Responder) {
        val expectedInstance = request.header("X-Expect-Instance")
        when {
            request.path == "/-/report" -> responder.send(OK, currentState.toReportJson())
            expectedInstance != null && expectedInstance != id ->
                responder.send(MISDIRECTED, "{}", headers = platformHeaders(request))
            request.path == "/-/order" -> executeCommand(request.parseJsonBody(), responder)
            request.header("X-Model") == null -> respondPlain(request, responder)
            else -> streamGeneration(request, responder)
        }
    }

    private fun executeCommand(command: JsonObject, responder: Responder) {
        val adapter = command["adapter"]?.let { command.requiredString("adapter") }
        val model = command.requiredString("model")
        val isLoad = command.requiredString("op_type") == "load"
        val previous = state.get()
        if (command.optionalLong("expected") != previous.sequence) return responder.send(CONFLICT, "{}")
        val accepted = previous.copy(sequence = previous.sequence + 1)
        when {
            adapter == null -> startOperation(accepted.copy(isModelLoading = true), responder, MODEL_LOAD_TIME) {
                it.copy(model = model, isModelLoading = false)
            }
            isLoad -> startOperation(
                accepted.copy(loadingAdapters = previous.loadingAdapters.add(adapter)),
                responder,
                ADAPTER_LOAD_TIME,
            ) {
                val version = command.optionalLong("version") ?: 1
                it.copy(
                    loadingAdapters = it.loadingAdapters.remove(adapter),
                    adapters = it.adapters.put(adapter, version),
                )
            }
            else -> startOperation(accepted, responder, Duration.ZERO) {
                it.copy(adapters = it.adapters.remove(adapter))
            }
        }
    }

    private fun startOperation(
        started: WorkerState,
        responder: Responder,
        duration: Duration,
        onCompleted: (WorkerState) -> WorkerState,
    ) {
        state.set(started)
        responder.send(ACCEPTED, "{}")
        responder.schedule(duration) { state.updateAndGet(onCompleted) }
    }

    private fun respondPlain(request: StandInRequest, responder: Responder) {
        if (behaviour.get().retryAfter != null) return reject(request, responder)
        executedIds.updateAndGet { it.add(request.header(REQUEST_ID).orEmpty()) }
        behaviour.get().stream?.let { script ->
            return ScriptedStream(script, responder).begin(request.header("Last-Event-Id"), platformHeaders(request))
        }
        responder.schedule(RESPONSE_DELAY) {
            responder.send(OK, """{"path":"${request.path}"}""", headers = platformHeaders(request))
        }
    }

    private fun reject(request: StandInRequest, responder: Responder) {
        rejectedIds.updateAndGet { it.add(request.header(REQUEST_ID).orEmpty()) }
        val headers = platformHeaders(request) + Header("X-Not-Executed", "1")
        responder.send(UNAVAILABLE, "{}", headers = headers)
    }

    private fun streamGeneration(request: StandInRequest, responder: Responder) {
        val modelName = request.header("X-Model").orEmpty()
        val adapter = modelName.substringAfter('/', "")
        if (!currentState.canServe(modelName.substringBefore('/'), adapter)) {
            return responder.send(MISDIRECTED, "{}", headers = platformHeaders(request))
        }
        executedIds.updateAndGet { it.add(request.header(REQUEST_ID).orEmpty()) }
        state.updateAndGet { it.copy(runningRequests = it.runningRequests + 1) }
        responder.beginChunked("text/event-stream", platformHeaders(request))
        sendChunk(responder, 1)
    }

    private fun sendChunk(responder: Responder, number: Int) {
        responder.sendChunk("id: $number\ndata: piece $number\n\n")
        responder.schedule(RESPONSE_DELAY) {
            if (number < CHUNK_COUNT) {
                sendChunk(responder, number + 1)
            } else {
                state.updateAndGet { it.copy(runningRequests = it.runningRequests - 1) }
                responder.endChunked()
            }
        }
    }

    private fun platformHeaders(request: StandInRequest): List<Header> = listOf(
        Header(REQUEST_ID, request.header(REQUEST_ID).orEmpty()),
        Header("X-Server-Signature", "signature-of-$id"),
        Header("X-Server-Load", "${state.get().runningRequests},0,${WorkerState.REQUEST_SLOTS}"),
        Header("Keep-Alive", "timeout=5"),
    ) + behaviour.get().headers

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val CHUNK_COUNT = 6
        const val OK = 200
        const val ACCEPTED = 202
        const val CONFLICT = 409
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        val RESPONSE_DELAY = 5.milliseconds
        val ADAPTER_LOAD_TIME = 30.milliseconds
        val MODEL_LOAD_TIME = 60.milliseconds
    }
}
