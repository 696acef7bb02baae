package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.Address
import org.ragwortbank.node.http.hashApiKey
import org.ragwortbank.standins.fleet.BlockingHttp
import org.ragwortbank.standins.fleet.Fleet
import org.ragwortbank.standins.fleet.Launcher
import org.ragwortbank.standins.fleet.Polling
import java.nio.file.Path

/** Does what an operator does, by the product's commands. */
internal class DemoSetup(
    private val launcher: Launcher,
    private val fleet: Fleet,
    private val examples: Path,
) {
    /** Puts the example tables in force, gives keys and waits until the fleet serves them. */
    fun run(): DemoKeys {
        check(apply() == 0) { "the tables were not put in force, see ${launcher.directory}" }
        val keys = DemoKeys(large = give("blue-hollow"), small = give("small-club"), withdrawn = give("blue-hollow"))
        check(Polling.until { serves(keys) }) { "the fleet does not serve, see ${launcher.directory}" }
        return keys
    }

    private fun apply(): Int {
        val tables = listOf("--routes=$examples/routes.toml", "--pools=$examples/pools.toml")
        val places = listOf("--kv=${fleet.kvAddress}", "--instances=${fleet.instancesAddress}")
        val result = launcher.runCommand(listOf("apply") + tables + places)
        println(result.output)
        return result.exitCode
    }

    private fun give(account: String): String =
        launcher.runCommand(listOf("keys", "give", account, "--kv=${fleet.kvAddress}")).output

    /** Withdraws [key] and waits until no entry accepts it. */
    fun withdraw(key: String) {
        launcher.runCommand(listOf("keys", "withdraw", hashApiKey(key).hex, "--kv=${fleet.kvAddress}"))
        val gone = Polling.until { fleet.httpAddresses.none { isKnown(it, key) } }
        check(gone) { "a withdrawn key still works" }
    }

    private fun serves(keys: DemoKeys): Boolean {
        val ready = fleet.entries.all { BlockingHttp.get(it.address("admin"), "/ready").status() == OK }
        return ready && fleet.httpAddresses.all { address -> keys.all().all { isKnown(address, it) } }
    }

    private fun isKnown(entry: Address, key: String): Boolean = BlockingHttp.get(entry, "/v1/models", key).size() > 0

    private companion object {
        const val OK = 200
    }
}
