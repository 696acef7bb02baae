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

/** Stand-ins, sidecars and entries as separate processes on the loopback interface. */
class Fleet(launcher: Launcher, plan: FleetPlan) {
    private val platform = startAll(
        listOf("kv", "instances", "weights").map { name -> Start { launcher.standIn(name, listOf(name)) } },
    )

    /** The key-value service. */
    val kv: ChildProcess = platform[0]

    /** The instance list. */
    val instances: ChildProcess = platform[1]

    /** The weight store. */
    val weights: ChildProcess = platform[2]

    private val starts = FleetStarts(launcher, plan, kv, instances, weights)

    /** The upstreams: engines, then plain services. */
    val upstreams: List<ChildProcess> = startAll(starts.upstreams())

    /** The sidecars, in the order of [upstreams]. */
    val sidecars: List<ChildProcess> = startAll(upstreams.map(starts::sidecar))

    /** The entries. */
    val entries: List<ChildProcess> = startAll((1..plan.entries).map { starts.entry("entry-$it") })

    /** Where the key-value service is reached. */
    val kvAddress: Address get() = kv.address("address")

    /** Where the instance list is reached. */
    val instancesAddress: Address get() = instances.address("address")

    /** Where callers reach the entries. */
    val httpAddresses: List<Address> get() = entries.map { it.address("http") }

    init {
        entries.forEach { list(it, "entry") }
        sidecars.forEach { list(it, "sidecar") }
    }

    /** Starts one more entry, which is not yet on the instance list. */
    fun startEntry(name: String): ChildProcess = starts.entry(name).action()

    /** Starts another sidecar for the upstream of [sidecar]. */
    fun startSidecar(sidecar: ChildProcess): ChildProcess =
        starts.sidecar(upstreams[sidecars.indexOf(sidecar)]).action()

    /** Puts [child] on the instance list. */
    fun list(child: ChildProcess, role: String, state: String = "live") {
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

    /** Takes [child] off the instance list. */
    fun unlist(child: ChildProcess) {
        BlockingHttp.send(instancesAddress, HttpCall("DELETE", "/instances/${child.name}"))
    }

    /** Stops entries and sidecars gracefully and ends the stand-ins; returns the names of those that did not stop. */
    fun stop(): List<String> {
        val stuck = stopGracefully(entries) + stopGracefully(sidecars)
        (platform + upstreams).forEach { it.kill() }
        return stuck.map { it.name }
    }

    /** Ends every process at once. */
    fun kill() = (platform + upstreams + sidecars + entries).forEach { it.kill() }

    private fun stopGracefully(children: List<ChildProcess>): List<ChildProcess> {
        val living = children.filter { it.isAlive }
        living.forEach { it.terminate() }
        return living.filter { it.awaitExit(STOP_TIMEOUT) != 0 }
    }

    private fun startAll(starts: List<Start>): PersistentList<ChildProcess> = runBlocking(Dispatchers.IO) {
        persistentListOf<ChildProcess>().addAll(starts.map { async { it.action() } }.awaitAll())
    }

    private companion object {
        val STOP_TIMEOUT = 30.seconds
    }
}
