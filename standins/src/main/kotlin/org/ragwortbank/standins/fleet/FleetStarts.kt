package org.ragwortbank.standins.fleet

import org.ragwortbank.clients.http.Address

/** How a process is started. */
internal class Start(val action: () -> ChildProcess)

/** The starts of a fleet's processes, once the platform's stand-ins run. */
internal class FleetStarts(
    private val launcher: Launcher,
    private val plan: FleetPlan,
    private val kv: ChildProcess,
    private val instances: ChildProcess,
    private val weights: ChildProcess,
) {
    /** All upstreams: engines, then plain services. */
    fun upstreams(): List<Start> = engines() + services()

    /** The sidecar of [upstream]. */
    fun sidecar(upstream: ChildProcess): Start {
        val kind = if (upstream.name.startsWith("engine")) "engine" else "service"
        val text = """
            name = "${upstream.name}"
            upstream_address = "${address(upstream)}"
            weight_prefix = "http://${address(weights)}/adapters/"
            ${platformSettings()}
            [sidecar]
            kind = "$kind"
            slots = ${plan.slots}
            ${plan.sidecarSettings}
            ${logSettings()}
        """.trimIndent()
        val path = launcher.write("sidecar-${upstream.name}.toml", text)
        return Start { launcher.product(upstream.name, listOf("sidecar", "--config=$path")) }
    }

    /** The entry [name]. */
    fun entry(name: String): Start {
        val text = """
            name = "$name"
            ${platformSettings()}
            ${plan.entrySettings}
            ${logSettings()}
        """.trimIndent()
        val path = launcher.write("$name.toml", text)
        return Start { launcher.product(name, listOf("entry", "--config=$path")) }
    }

    private fun engines(): List<Start> = (1..plan.engines).map { number ->
        val options = listOf(
            "--slots=${plan.slots}",
            "--token-ms=${plan.tokenMillis}",
            "--answer-tokens=${plan.answerTokens}",
        )
        Start { launcher.standIn("engine-$number", listOf("engine") + options) }
    }

    private fun services(): List<Start> = (1..plan.services).map { number ->
        Start { launcher.standIn("booking-$number", listOf("service", "--answer-ms=${plan.serviceMillis}")) }
    }

    private fun platformSettings(): String =
        "[platform]\nkey_value_address = \"${address(kv)}\"\ninstances_address = \"${address(instances)}\""

    private fun logSettings(): String = if (plan.quiet) "[log]\nlevel = \"warn\"" else ""

    private fun address(child: ChildProcess): Address = child.address("address")
}
