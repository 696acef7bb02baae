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
    val kv: Child = platform[0]

    /** The instance list. */
    val instances: Child = platform[1]

    /** The weight store. */
    val weights: Child = platform[2]

    private val starts = FleetStarts(launcher, plan, kv, instances, weights)

    /** The upstreams: engines, then plain services. */
    val upstreams: List<Child> = startAll(starts.upstreams())

    /** The sidecars, in the order of [upstreams]. */
    val sidecars: List<Child> = startAll(upstreams.map(starts::sidecar))

    /** The entries. */
    val entries: List<Child> = startAll((1..plan.entries).map { starts.entry("entry-$it") })

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
    fun startEntry(name: String): Child = starts.entry(name).action()

    /** Starts another sidecar for the upstream of [sidecar]. */
    fun startSidecar(sidecar: Child): Child =
        starts.sidecar(upstreams[sidecars.indexOf(sidecar)]).action()

    /** Puts [child] on the instance list. */
    fun list(child: Child, role: String, state: String = "live") {
        val document = InstanceDocument(
            name = child.name,
            role = role,
            address = child.address("peer").toString(),
            admin = child.address("admin").toString(),
            domain = "a",
            state = state,
        )
        val body = Json.encodeToString(InstanceDocument.serializer(), document).encodeToByteArray()
        Caller.blocking(instancesAddress, HttpCall("PUT", "/instances/${child.name}", body = body))
    }

    /** Takes [child] off the instance list. */
    fun unlist(child: Child) {
        Caller.blocking(instancesAddress, HttpCall("DELETE", "/instances/${child.name}"))
    }

    /** Stops entries and sidecars gracefully and ends the stand-ins; returns the names of those that did not stop. */
    fun stop(): List<String> {
        val stuck = stopGracefully(entries) + stopGracefully(sidecars)
        (platform + upstreams).forEach { it.kill() }
        return stuck.map { it.name }
    }

    /** Ends every process at once. */
    fun kill() = (platform + upstreams + sidecars + entries).forEach { it.kill() }

    private fun stopGracefully(children: List<Child>): List<Child> {
        val living = children.filter { it.alive }
        living.forEach { it.terminate() }
        return living.filter { it.awaitExit(STOP_TIMEOUT) != 0 }
    }

    private fun startAll(starts: List<Start>): PersistentList<Child> = runBlocking(Dispatchers.IO) {
        persistentListOf<Child>().addAll(starts.map { async { it.action() } }.awaitAll())
    }

    private companion object {
        val STOP_TIMEOUT = 30.seconds
    }
}
