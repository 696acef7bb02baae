package org.ragwortbank.standins.fleet

import org.ragwortbank.clients.http.Address

/** A process that can be started with [start]. */
internal class ProcessStarter(val start: () -> ChildProcess)

/**
 * Prepares arguments and settings files for the upstreams, sidecars and entries of a fleet.
 *
 * The stand-ins of the platform must be running, since the settings files contain their addresses.
 */
internal class FleetStarters(
    private val launcher: Launcher,
    private val plan: FleetPlan,
    private val kv: ChildProcess,
    private val instanceList: ChildProcess,
    private val weightStore: ChildProcess,
) {
    /** Starters of all upstreams: engines, then plain services. */
    fun upstreams(): List<ProcessStarter> = engines() + services()

    /** Starter of the sidecar of [upstream]. */
    fun sidecar(upstream: ChildProcess): ProcessStarter {
        val kind = if (upstream.name.startsWith("engine")) "engine" else "service"
        val settings = """
            name = "${upstream.name}"
            upstream_address = "${address(upstream)}"
            weight_prefix = "http://${address(weightStore)}/adapters/"
            ${platformSettings()}
            [sidecar]
            kind = "$kind"
            slots = ${plan.slots}
            ${plan.sidecarSettings}
            ${logSettings()}
        """.trimIndent()
        val settingsPath = launcher.writeSettings("sidecar-${upstream.name}.toml", settings)
        return ProcessStarter { launcher.startProduct(upstream.name, listOf("sidecar", "--config=$settingsPath")) }
    }

    /** Starter of the entry [name]. */
    fun entry(name: String): ProcessStarter {
        val settings = """
            name = "$name"
            ${platformSettings()}
            ${plan.entrySettings}
            ${logSettings()}
        """.trimIndent()
        val settingsPath = launcher.writeSettings("$name.toml", settings)
        return ProcessStarter { launcher.startProduct(name, listOf("entry", "--config=$settingsPath")) }
    }

    private fun engines(): List<ProcessStarter> = (1..plan.engines).map { number ->
        val options = listOf(
            "--slots=${plan.slots}",
            "--token-ms=${plan.tokenMillis}",
            "--answer-tokens=${plan.responseTokens}",
        )
        ProcessStarter { launcher.startStandIn("engine-$number", listOf("engine") + options) }
    }

    private fun services(): List<ProcessStarter> = (1..plan.services).map { number ->
        val options = listOf("--answer-ms=${plan.serviceResponseMillis}")
        ProcessStarter { launcher.startStandIn("booking-$number", listOf("service") + options) }
    }

    private fun platformSettings(): String =
        "[platform]\nkey_value_address = \"${address(kv)}\"\ninstances_address = \"${address(instanceList)}\""

    private fun logSettings(): String = if (plan.isQuiet) "[log]\nlevel = \"warn\"" else ""

    private fun address(child: ChildProcess): Address = child.address("address")
}
