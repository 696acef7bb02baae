package org.ragwortbank.standins.drill

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.standins.fleet.Launcher
import org.ragwortbank.standins.fleet.Polling
import org.ragwortbank.standins.prepared.StoreStandIn
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Gateways as processes before a store, workers and callers, in a drill with the random choices of [seed]. */
class DrillFleet(launcher: Launcher, private val seed: Int) {
    private val start = TimeSource.Monotonic.markNow()
    private val random = Random(seed)
    private val threads = Executors.newCachedThreadPool()
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val store = StoreStandIn(group)
    private val storeAddress = store.start()
    private val workers = DrillWorkers(group)
    private val gateways = List(MACHINES) { DrillGateway(launcher, it, storeAddress) }
    private val first = PublishedConfig(DrillOperator.FIRST, sentAt = now(), acknowledgedAt = now())
    private val tables = AtomicReference(DrillTables(DrillOperator(persistentListOf(first)), tickedAt = now()))
    private val isOver = AtomicReference(false)

    /** Starts the gateways and waits until each serves; false if one did not in time. */
    fun start(): Boolean {
        store.put(OperatorSystem.KEY, first.config.toJson())
        workers.writeAll(store, now())
        gateways.map { threads.submit { it.start() } }.forEach { it.get() }
        return gateways.indices.all { machine ->
            val caller = caller("ready-$machine", machine)
            Polling.until { caller.callFirstRoute(0)?.status == OK }
        }
    }

    /** Plays rounds with [faults] of the store and returns what was seen. */
    fun play(faults: List<StoreFault>): DrillRecord {
        val startedAt = now()
        val calls = gateways.indices.flatMap { machine -> List(CALLERS) { beginCalls("caller-$machine-$it", machine) } }
        run(DrillPlan.rounds(random, faults, MACHINES), startedAt)
        isOver.set(true)
        val starts = gateways.indices.map { Disturbance(it, Duration.ZERO, startedAt) }
        return DrillRecord(
            published = tables.get().operator.published,
            disturbances = tables.get().disturbances.addAll(starts).addAll(gateways.flatMap { it.disturbances }),
            requests = calls.flatMap { it.get() }.sortedBy { it.sentAt }.toPersistentList(),
            services = workers.servicesByRequest(),
        )
    }

    /** Lines of the gateways' logs that name the request. */
    fun logLines(request: DrillRequest): List<String> = gateways[request.machine].logLines(request.id)

    /** Ends all processes. */
    fun stop() {
        isOver.set(true)
        threads.shutdown()
        threads.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)
        gateways.forEach { it.end(isKilled = true) }
        group.shutdownGracefully()
    }

    private fun run(plan: DrillPlan, startedAt: Duration) {
        val systems = listOf(
            ActSystem(plan, startedAt, store, ::beginRestart),
            OperatorSystem(store, random),
            HeartbeatSystem(store, workers),
            CopySystem(store),
        )
        tables.updateAndGet { it.copy(tickedAt = startedAt) }
        while (now() < startedAt + plan.length) {
            tables.set(tick(systems, now()))
            Thread.sleep(TICK_MILLIS)
        }
    }

    private fun tick(systems: List<DrillSystem>, now: Duration): DrillTables =
        systems.fold(tables.get()) { current, system -> system.run(now, current) }.copy(tickedAt = now)

    private fun beginRestart(act: DrillAct.GatewayEnds) {
        threads.submit { gateways[act.machine].restart(act.isKilled, act.downtime, ::now) }
    }

    private fun beginCalls(name: String, machine: Int): Future<List<DrillRequest>> {
        val caller = caller(name, machine)
        return threads.submit<List<DrillRequest>> {
            generateSequence(1) { it + 1 }
                .takeWhile { !isOver.get() }
                .onEach { Thread.sleep(CALL_PAUSE_MILLIS) }
                .mapNotNull { caller.call(it, tables.get().operator.published) }
                .toList()
        }
    }

    private fun caller(name: String, machine: Int) =
        DrillCaller(name, machine, gateways[machine], Random(seed + name.hashCode()), ::now)

    private fun now(): Duration = start.elapsedNow()

    private companion object {
        const val MACHINES = 3
        const val CALLERS = 2
        const val OK = 200
        const val TICK_MILLIS = 10L
        const val STOP_SECONDS = 20L
        const val CALL_PAUSE_MILLIS = 15L
    }
}
