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

/** Makes the declared tables true. */
@Command(
    name = "apply",
    description = ["Stores the declared tables and waits until they are in force everywhere."],
    mixinStandardHelpOptions = true,
)
class ApplyCommand : Callable<Int> {
    @Mixin
    private lateinit var tables: TableOptions

    @Mixin
    private lateinit var store: KeyValueOptions

    @Mixin
    private lateinit var instances: InstancesOptions

    @Option(
        names = ["--if-version"],
        paramLabel = "N",
        description = ["Changes nothing unless the stored version is N, as printed by plan."],
    )
    private var base: Long? = null

    @Option(
        names = ["--wait"],
        paramLabel = "SECONDS",
        defaultValue = "10",
        description = ["Longest wait until the change is in force everywhere (\${DEFAULT-VALUE})."],
    )
    private var wait: Long = 0

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int =
        when (val declared = TableFiles.read(tables.routes, tables.pools)) {
            is Validated.Invalid -> reportProblems(declared.problems)
            is Validated.Valid -> apply(declared.value)
        }

    private fun apply(declared: Configuration): Int {
        val write = Platform.withConfig(store.address) { config ->
            changeTables(config, base) { present -> changesBetween(present, declared) }
        }
        return if (write is ConfigWrite.Stored) follow(write.configuration) else reportFailure(write)
    }

    private fun follow(stored: Configuration): Int {
        val states = Platform.withClient { client ->
            Fleet(client, instances.address).await(stored.version, wait.seconds)
        }
        val entries = states.orEmpty().filter { it.role == "entry" }
        val late = entries.filter { (it.configVersion ?: 0) < stored.version }
        val applied = Applied(
            version = stored.version,
            routes = stored.routes.size,
            pools = stored.pools.size,
            accounts = stored.accounts.size,
            inForce = (entries - late.toSet()).map { it.name },
            notYet = late.map { it.name },
        )
        println(if (json) Json.encodeToString(Applied.serializer(), applied) else applied.text())
        val everywhere = states != null && late.isEmpty()
        return if (everywhere) ExitCode.OK.number else ExitCode.NOT_IN_FORCE.number
    }

    @Serializable
    private data class Applied(
        val version: Long,
        val routes: Int,
        val pools: Int,
        val accounts: Int,
        val inForce: List<String>,
        val notYet: List<String>,
    ) {
        fun text(): String =
            "stored version $version: $routes routes, $pools pools, $accounts accounts\n" +
                "in force on: ${inForce.joinToString(" ").ifEmpty { "no entry" }}" +
                if (notYet.isEmpty()) "" else "\nnot yet in force on: ${notYet.joinToString(" ")}"
    }
}
