package org.ragwortbank.standins.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.instances.InstanceDocument
import kotlin.time.Duration.Companion.seconds

/** Starts stand-ins, sidecars and entries as separate processes on the loopback interface. */
class Fleet(launcher: Launcher, plan: FleetPlan) {
    private val platformStandIns = startAll(
        listOf("kv", "instances", "weights").map { name ->
            ProcessStarter { launcher.startStandIn(name, listOf(name)) }
        },
    )

    /** Stand-in for the key-value service. */
    val kv: ChildProcess = platformStandIns[0]

    /** Stand-in for the instance list. */
    val instanceList: ChildProcess = platformStandIns[1]

    /** Stand-in for the weight store. */
    val weightStore: ChildProcess = platformStandIns[2]

    private val starters = FleetStarters(launcher, plan, kv, instanceList, weightStore)

    /** The upstreams: engines, then plain services. */
    val upstreams: List<ChildProcess> = startAll(starters.upstreams())

    /** The sidecars, in the order of [upstreams]. */
    val sidecars: List<ChildProcess> = startAll(upstreams.map(starters::sidecar))

    /** The entries. */
    val entries: List<ChildProcess> = startAll((1..plan.entries).map { starters.entry("entry-$it") })

    /** Address of the key-value service. */
    val kvAddress: Address get() = kv.address("address")

    /** Address of the instance list. */
    val instancesAddress: Address get() = instanceList.address("address")

    /** Addresses at which the entries take requests. */
    val httpAddresses: List<Address> get() = entries.map { it.address("http") }

    init {
        entries.forEach { register(it, "entry") }
        sidecars.forEach { register(it, "sidecar") }
    }

    /** Starts an additional entry without adding it to the instance list. */
    fun startEntry(name: String): ChildProcess = starters.entry(name).start()

    /** Starts another sidecar for the upstream of [sidecar] without adding it to the instance list. */
    fun startSidecar(sidecar: ChildProcess): ChildProcess =
        starters.sidecar(upstreams[sidecars.indexOf(sidecar)]).start()

    /** Adds [child] to the instance list, or replaces its item there. */
    fun register(child: ChildProcess, role: String, state: String = "live") {
        val document = InstanceDocument(
            name = child.name,
            role = role,
            address = child.address("peer").toString(),
            admin = child.address("admin").toString(),
            domain = "a",
            state = state,
        )
        val body = Json.encodeToString(InstanceDocument.serializer(), document).encodeToByteArray()
        BlockingHttp.send(instancesAddress, HttpCall("PUT", "/instances/${child.name}", body = body))
    }

    /** Removes [child] from the instance list. */
    fun unregister(child: ChildProcess) {
        BlockingHttp.send(instancesAddress, HttpCall("DELETE", "/instances/${child.name}"))
    }

    /**
     * Stops entries and sidecars gracefully, then kills the stand-ins.
     *
     * Returns the names of the entries and sidecars that did not exit with 0 within [STOP_TIMEOUT].
     */
    fun stop(): List<String> {
        val notStopped = stopGracefully(entries) + stopGracefully(sidecars)
        (platformStandIns + upstreams).forEach { it.kill() }
        return notStopped.map { it.name }
    }

    /** Kills every process. */
    fun kill() = (platformStandIns + upstreams + sidecars + entries).forEach { it.kill() }

    private fun stopGracefully(children: List<ChildProcess>): List<ChildProcess> {
        val running = children.filter { it.isAlive }
        running.forEach { it.terminate() }
        return running.filter { it.awaitExit(STOP_TIMEOUT) != 0 }
    }

    private fun startAll(starters: List<ProcessStarter>): PersistentList<ChildProcess> = runBlocking(Dispatchers.IO) {
        persistentListOf<ChildProcess>().addAll(starters.map { async { it.start() } }.awaitAll())
    }

    private companion object {
        val STOP_TIMEOUT = 30.seconds
    }
}
