package org.ragwortbank.standins.drill

import io.netty.channel.EventLoopGroup
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.standins.prepared.StoreStandIn
import org.ragwortbank.standins.prepared.WorkerStandIn
import org.ragwortbank.standins.prepared.WorkerState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Workers of both services, and others of a third one that is not routed to, all of which write heartbeats. */
class DrillWorkers(group: EventLoopGroup) {
    private val workers = DrillConfig.SERVICES.flatMap { service ->
        (1..WORKERS).map { Worker(service, "i-$service-$it", WorkerStandIn(group, "i-$service-$it", model = null)) }
    }
    private val addresses = workers.associate { it.id to it.standIn.start() }
    private val idle = (1..IDLE_WORKERS).map { "i-idle-$it" }

    /** Keys of all workers in the store. */
    val keys: List<String> = (workers.map { it.id } + idle).map { "servers/$it" }

    /** Services that ran a request, by its id. */
    fun servicesByRequest(): PersistentMap<String, String> =
        workers.flatMap { worker -> worker.standIn.executedRequestIds.map { it to worker.service } }
            .toMap()
            .toPersistentMap()

    /** Writes the entry of each worker whose next heartbeat is between [from] and [until]. */
    fun writeHeartbeats(store: StoreStandIn, from: Duration, until: Duration) =
        keys.forEachIndexed { index, key ->
            val offset = interval * index / keys.size
            val beats = ((until - offset) / interval).toLong()
            if (beats > ((from - offset) / interval).toLong()) write(store, key, beats)
        }

    /** Writes the entries of all workers, as those do that couldn't write. */
    fun writeAll(store: StoreStandIn, now: Duration) = keys.forEach { write(store, it, (now / interval).toLong()) }

    private fun write(store: StoreStandIn, key: String, sequence: Long) {
        val worker = workers.firstOrNull { "servers/${it.id}" == key }
        val address = worker?.let { addresses.getValue(it.id) } ?: addresses.values.first()
        store.put(key, WorkerState(sequence = sequence).toRegistrationJson(worker?.service ?: "idle", address))
    }

    private class Worker(val service: String, val id: String, val standIn: WorkerStandIn)

    private companion object {
        const val WORKERS = 2
        const val IDLE_WORKERS = 24

        /** Between two heartbeats of a worker. */
        val interval = 1_200.milliseconds
    }
}
