package org.ragwortbank.cli.command

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.ragwortbank.node.admin.StatusDocument
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Shows the fleet. */
@Command(
    name = "status",
    description = ["Shows each process and the version of the tables that it has in force."],
    mixinStandardHelpOptions = true,
)
class StatusCommand : Callable<Int> {
    @Mixin
    private lateinit var instances: InstancesOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int {
        val states = Platform.withClient { Fleet(it, instances.address).states() }
            ?: return fail(ExitCode.UNAVAILABLE, "the instance list can't be read")
        if (json) println(Json.encodeToString(ListSerializer(StatusDocument.serializer()), states)) else print(states)
        return ExitCode.OK.number
    }

    private fun print(states: List<StatusDocument>) {
        println("%-20s %-8s %-8s %-9s %s".format("instance", "role", "version", "requests", "state"))
        states.sortedBy { it.role + it.name }.forEach { println(line(it)) }
    }

    private fun line(state: StatusDocument): String {
        val version = state.configVersion?.toString() ?: "-"
        val condition = if (state.stopping) "stopping" else detail(state)
        return "%-20s %-8s %-8s %-9d %s".format(state.name, state.role, version, state.requests, condition)
    }

    private fun detail(state: StatusDocument): String {
        val upstreams = state.upstreams
        val adapters = state.adapters
        return when {
            upstreams != null -> "$upstreams upstreams accept work"
            adapters != null -> "${adapters.size} adapters, orders as ${state.fencing ?: "none: no fencing number"}"
            else -> "does not answer"
        }
    }
}
