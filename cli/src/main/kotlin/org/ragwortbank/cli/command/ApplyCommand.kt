package org.ragwortbank.cli.command

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortbank.cli.tables.TableFiles
import org.ragwortbank.cli.toml.Validated
import org.ragwortbank.clients.config.ConfigWrite
import org.ragwortbank.core.config.changesBetween
import org.ragwortbank.core.model.Configuration
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable
import kotlin.time.Duration.Companion.seconds

/** Stores the declared tables and waits until every entry has applied them. */
@Command(
    name = "apply",
    description = ["Stores the declared tables and waits until they are in force everywhere."],
    mixinStandardHelpOptions = true,
)
class ApplyCommand : Callable<Int> {
    @Mixin
    private lateinit var tableFiles: TableOptions

    @Mixin
    private lateinit var store: KeyValueOptions

    @Mixin
    private lateinit var instances: InstancesOptions

    @Option(
        names = ["--if-version"],
        paramLabel = "N",
        description = ["Changes nothing unless the stored version is N, as printed by plan."],
    )
    private var expectedVersion: Long? = null

    @Option(
        names = ["--wait"],
        paramLabel = "SECONDS",
        defaultValue = "10",
        description = ["Longest wait until the change is in force everywhere (\${DEFAULT-VALUE})."],
    )
    private var waitSeconds: Long = 0

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int =
        when (val declared = TableFiles.read(tableFiles.routesFile, tableFiles.poolsFile)) {
            is Validated.Invalid -> reportProblems(declared.problems)
            is Validated.Valid -> storeTables(declared.value)
        }

    private fun storeTables(declared: Configuration): Int {
        val write = PlatformClients.withConfigStore(store.address) { configStore ->
            changeTables(configStore, expectedVersion) { stored -> changesBetween(stored, declared) }
        }
        return if (write is ConfigWrite.Stored) awaitInForce(write.configuration) else reportFailure(write)
    }

    private fun awaitInForce(stored: Configuration): Int {
        val statuses = PlatformClients.withHttpClient { client ->
            InstanceStatusReader(client, instances.address).awaitVersion(stored.version, waitSeconds.seconds)
        }
        val entries = statuses.orEmpty().filter { it.role == "entry" }
        val outdated = entries.filter { (it.configVersion ?: 0) < stored.version }
        val result = ApplyResult(
            version = stored.version,
            routes = stored.routes.size,
            pools = stored.pools.size,
            accounts = stored.accounts.size,
            inForce = (entries - outdated.toSet()).map { it.name },
            notYet = outdated.map { it.name },
        )
        println(if (json) Json.encodeToString(ApplyResult.serializer(), result) else result.displayText())
        val isInForceEverywhere = statuses != null && outdated.isEmpty()
        return if (isInForceEverywhere) ExitCode.OK.number else ExitCode.NOT_IN_FORCE.number
    }

    @Serializable
    private data class ApplyResult(
        val version: Long,
        val routes: Int,
        val pools: Int,
        val accounts: Int,
        val inForce: List<String>,
        val notYet: List<String>,
    ) {
        fun displayText(): String =
            "stored version $version: $routes routes, $pools pools, $accounts accounts\n" +
                "in force on: ${inForce.joinToString(" ").ifEmpty { "no entry" }}" +
                if (notYet.isEmpty()) "" else "\nnot yet in force on: ${notYet.joinToString(" ")}"
    }
}
