package org.ragwortbank.cli.command

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.ragwortbank.node.admin.StatusDocument
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Prints the status of each process on the instance list. */
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
        val statuses = PlatformClients.withHttpClient { InstanceStatusReader(it, instances.address).readStatuses() }
            ?: return fail(ExitCode.UNAVAILABLE, "the instance list can't be read")
        if (json) {
            println(Json.encodeToString(ListSerializer(StatusDocument.serializer()), statuses))
        } else {
            printStatuses(statuses)
        }
        return ExitCode.OK.number
    }

    private fun printStatuses(statuses: List<StatusDocument>) {
        println("%-20s %-8s %-8s %-9s %s".format("instance", "role", "version", "requests", "state"))
        statuses.sortedBy { it.role + it.name }.forEach { println(statusLine(it)) }
    }

    private fun statusLine(status: StatusDocument): String {
        val version = status.configVersion?.toString() ?: "-"
        val stateText = if (status.stopping) "stopping" else workText(status)
        return "%-20s %-8s %-8s %-9d %s".format(status.name, status.role, version, status.requests, stateText)
    }

    private fun workText(status: StatusDocument): String {
        val upstreams = status.upstreams
        val adapters = status.adapters
        return when {
            upstreams != null -> "$upstreams upstreams accept work"
            adapters != null -> "${adapters.size} adapters, orders as ${status.fencing ?: "none: no fencing number"}"
            else -> "does not answer"
        }
    }
}
