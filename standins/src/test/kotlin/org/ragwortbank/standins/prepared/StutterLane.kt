package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.fleet.BlockingHttp
import org.ragwortbank.standins.fleet.Polling
import kotlin.test.assertTrue

/** A broken promise, with what the worker wrote and the caller read. */
data class Violation(val case: StutterCase, val requestId: String, val broken: List<String>, val evidence: String)

/**
 * One service with [workerCount] workers behind the gateway at [gateway], where cases are played one after another; the
 * workers answer other requests with the [usual] plan.
 */
class StutterLane(
    val service: String,
    private val gateway: Address,
    workerCount: Int,
    usual: AnswerPlan = AnswerPlan(),
) {
    private val workers = List(workerCount) { StutteringWorker("$service-$it", usual) }
    private var played = 0

    /** Starts the workers and returns their addresses. */
    fun start(): List<Address> = workers.map { it.start() }

    /** Stops the workers. */
    fun stop() = workers.forEach { it.stop() }

    /** Plays [case] and returns the promises that were broken. */
    fun play(case: StutterCase): List<Violation> {
        val id = "$service-${++played}"
        val isSettled = Polling.until(SETTLE_MILLIS) { call("$id-settle", isRepeatable = true).hasSucceeded() }
        assertTrue(isSettled, "$service doesn't answer")
        workers.forEach { it.plan("$id-first", case.first) }
        workers.forEach { it.plan("$id-next", case.next) }
        val first = call("$id-first", case.isRepeatable)
        Thread.sleep(case.gapMillis)
        val next = call("$id-next", case.isRepeatable)
        return listOfNotNull(violation(case, "$id-first", first), violation(case, "$id-next", next))
    }

    private fun violation(case: StutterCase, requestId: String, reply: HttpReply): Violation? {
        val runs = workers.fold(persistentMapOf<String, WorkerRun>()) { all, worker -> all.putAll(worker.runs) }
        val broken = StutterCheck.violations(requestId, reply, runs) +
            listOfNotNull("run more than once".takeIf { !case.isRepeatable && runs.countOf(requestId) > 1 })
        if (broken.isEmpty()) return null
        val own = runs.values.filter { it.requestId.substringBeforeLast('-') == requestId.substringBeforeLast('-') }
        val written = own.flatMap { run -> run.written.map { "${run.signature} wrote on $it" } }
        val read = (reply as? HttpReply.Answered)?.let { "read ${it.status} ${it.head.headers} '${it.text}'" }
        return Violation(case, requestId, broken, (written + read.toString()).joinToString("\n  "))
    }

    private fun Map<String, WorkerRun>.countOf(requestId: String): Int =
        values.count { it.requestId == requestId && it.plan.status !in NOT_RUN }

    private fun call(requestId: String, isRepeatable: Boolean): HttpReply {
        val headers = persistentListOf(
            Header("Host", PreparedDeployment.HOST),
            Header("X-Request-Id", requestId),
            Header("X-Deadline-Ms", DEADLINE_MILLIS),
            Header("Authorization", "Bearer ${PreparedDeployment.API_KEY}"),
        )
        val call = when {
            isRepeatable -> HttpCall("GET", "/again/$service/x", headers, ByteArray(0))
            else -> HttpCall("POST", "/once/$service/x", headers, "{}".encodeToByteArray())
        }
        return BlockingHttp.send(gateway, call)
    }

    private companion object {
        const val SETTLE_MILLIS = 20L
        val NOT_RUN = setOf(421, 503)
        const val DEADLINE_MILLIS = "300"
    }
}
