package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.Address
import org.ragwortbank.node.http.hashApiKey
import org.ragwortbank.standins.fleet.BlockingHttp
import org.ragwortbank.standins.fleet.Fleet
import org.ragwortbank.standins.fleet.Launcher
import org.ragwortbank.standins.fleet.Polling
import java.nio.file.Path

/** Configures the fleet with the product's commands, as an operator does. */
internal class DemoSetup(
    private val launcher: Launcher,
    private val fleet: Fleet,
    private val examples: Path,
) {
    /** Applies the example tables, issues keys and waits until every entry accepts the keys. */
    fun run(): DemoKeys {
        check(applyTables() == 0) { "command apply failed, see the logs in ${launcher.directory}" }
        val keys = DemoKeys(
            large = issueKey("blue-hollow"),
            small = issueKey("small-club"),
            revoked = issueKey("blue-hollow"),
        )
        check(Polling.until { isServing(keys) }) {
            "not every entry is ready and accepts the keys, see the logs in ${launcher.directory}"
        }
        return keys
    }

    private fun applyTables(): Int {
        val tables = listOf("--routes=$examples/routes.toml", "--pools=$examples/pools.toml")
        val addresses = listOf("--kv=${fleet.kvAddress}", "--instances=${fleet.instancesAddress}")
        val result = launcher.runCommand(listOf("apply") + tables + addresses)
        println(result.output)
        return result.exitCode
    }

    private fun issueKey(account: String): String =
        launcher.runCommand(listOf("keys", "give", account, "--kv=${fleet.kvAddress}")).output

    /** Revokes [key] and waits until no entry accepts it. */
    fun revoke(key: String) {
        launcher.runCommand(listOf("keys", "withdraw", hashApiKey(key).hex, "--kv=${fleet.kvAddress}"))
        val isRevoked = Polling.until { fleet.httpAddresses.none { acceptsKey(it, key) } }
        check(isRevoked) { "an entry still accepts a revoked key" }
    }

    private fun isServing(keys: DemoKeys): Boolean {
        val allReady = fleet.entries.all { BlockingHttp.get(it.address("admin"), "/ready").statusOrZero() == OK }
        return allReady && fleet.httpAddresses.all { address -> keys.toList().all { acceptsKey(address, it) } }
    }

    private fun acceptsKey(entry: Address, key: String): Boolean =
        BlockingHttp.get(entry, "/v1/models", key).modelCount() > 0

    private companion object {
        const val OK = 200
    }
}
