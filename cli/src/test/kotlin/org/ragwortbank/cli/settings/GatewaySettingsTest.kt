package org.ragwortbank.cli.settings

import org.ragwortbank.cli.toml.Validated
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.Region
import org.ragwortbank.core.pressure.PressureLimits
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.node.settings.GatewayNodeSettings
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

class GatewaySettingsTest {
    private val file = Files.createTempDirectory("ragwortbank-gateway").resolve("settings.toml")

    private fun readWithBounds(bounds: String): Validated<GatewayNodeSettings> {
        file.writeText("name = \"edge-1\"\nstore_address = \"127.0.0.1:1\"\n[bounds]\n$bounds\n")
        return SettingsFile.readGateway(file)
    }

    private fun validWithBounds(bounds: String): Validated.Valid<GatewayNodeSettings> = assertIs(readWithBounds(bounds))

    @Test
    fun `given a retry slack with a fraction, then it is read`() {
        val settings = validWithBounds("retry_slack = 44.16666666666667")
        assertEquals(44.16666666666667, settings.value.gateway.retrySlack)
        assertEquals(emptyList(), settings.warnings)
    }

    @Test
    fun `given a whole retry slack, then it is read`() {
        assertEquals(106.0, validWithBounds("retry_slack = 106").value.gateway.retrySlack)
    }

    @Test
    fun `given bounds on time with a fraction, then they are read`() {
        val settings = validWithBounds(
            """
            key_withdrawal = "5000.5ms"
            adapter_version = "4166.666666666667ms"
            stop_grace = "8.5s"
            configuration = "4000.0ms"
            leaving_upstream = "3999.5ms"
            """.trimIndent(),
        )
        assertEquals(emptyList(), settings.warnings)
        val gateway = settings.value.gateway
        assertEquals(4_800.5.milliseconds, gateway.configurationLease)
        assertSimilar((4_166.667 - 1_499.8125).milliseconds / 2, gateway.previousVersionLifetime)
        assertEquals(7_800.milliseconds, gateway.drainTimeout)
        assertSimilar(1_499.8125.milliseconds, gateway.storeReadDelay)
    }

    @Test
    fun `given bounds on cold upstreams, then they are read`() {
        val gateway = validWithBounds("cold_overage = 1.5\ncold_slack = 5").value.gateway
        assertEquals(1.5 to 5.0, gateway.coldOverage to gateway.coldSlack)
    }

    @Test
    fun `given features, then those that are known and true are asked for`() {
        val settings = validWithBounds("[features]\nplaces = true\npressure = false\nstream = true")
        assertEquals(setOf(Feature.PLACES, Feature.PACE), settings.value.gateway.features)
    }

    @Test
    fun `given the memory of the process, then what is held for slow readers follows from it`() {
        val small = validWithBounds("[limits]\nmemory = \"60MB\"").value.gateway.pressure
        assertEquals(10_000_000, small.bodyBytes + small.untakenBytes + small.heldBackBytes)
        assertEquals(PressureLimits(), validWithBounds("").value.gateway.pressure)
    }

    @Test
    fun `given memory that can't be read, then it is reported and the default holds`() {
        listOf("330", "\"330\"", "\"-1MB\"", "\"xMB\"").forEach { memory ->
            val settings = validWithBounds("[limits]\nmemory = $memory")
            assertEquals(PressureLimits(), settings.value.gateway.pressure)
            assertContains(settings.warnings.single(), "limits.memory: found")
        }
    }

    @Test
    fun `given no features, then none is in force`() {
        assertEquals(emptySet(), validWithBounds("").value.gateway.features)
    }

    @Test
    fun `given a bound on evacuation, then the pause between reads of the store fits into half of it`() {
        val others = "configuration = \"4s\"\nleaving_upstream = \"3s\""
        assertSimilar(1_125.milliseconds, validWithBounds(others).value.gateway.storeReadDelay)
        assertSimilar(1_125.milliseconds, validWithBounds("$others\nevacuation = \"5s\"").value.gateway.storeReadDelay)
        assertSimilar(375.milliseconds, validWithBounds("$others\nevacuation = \"1s\"").value.gateway.storeReadDelay)
    }

    @Test
    fun `given regions, then each names a failure domain, and one that can't be read is reported and left out`() {
        val settings = validWithBounds("[regions]\n\"smoky-a\" = \"smoky\"\nb = 7\nc = \"\"")
        assertEquals(mapOf(FailureDomain("smoky-a") to Region("smoky")), settings.value.gateway.regions.toMap())
        assertEquals(2, settings.warnings.size)
        assertContains(settings.warnings.joinToString("\n"), "regions.b: found '7', expected the name of a region")
    }

    @Test
    fun `given unreadable bounds, then each is reported with key, found and expected and its default is in force`() {
        val settings = validWithBounds(
            "retry_slack = \"many\"\nstop_grace = \"ms\"\nkey_withdrawal = true\nretry_slak = 3",
        )
        val defaults = GatewayNodeSettings(placerDigestPort = 1, name = "x", storeAddress = settings.value.storeAddress)
        assertEquals(defaults.gateway, settings.value.gateway)
        assertEquals(4, settings.warnings.size)
        val warnings = settings.warnings.joinToString("\n")
        assertContains(warnings, "bounds.retry_slack: found 'many', expected a number from 0.0 to 1000000.0")
        assertContains(warnings, "bounds.stop_grace: found 'ms', expected a duration")
        assertContains(warnings, "bounds.key_withdrawal: found 'true', expected a duration")
        assertContains(warnings, "bounds.retry_slak: found an unknown setting")
    }

    // Guards against a bound that a reload widens to its default, because it is missing or can't be read.
    @Test
    fun `given a reload with bounds that are missing or can't be read, then those in force stay`() {
        val bounds =
            """
            key_withdrawal = "2s"
            adapter_version = "3s"
            configuration = "1s"
            retry_slack = 5
            retry_ratio = 0.1
            rate_window = "4s"
            rate_overage = 0.2
            rate_slack = 9
            stop_grace = "5s"
            """.trimIndent()
        val inForce = validWithBounds(bounds).value.gateway
        val unreadable = "key_withdrawal = true\nretry_slack = \"many\"\nconfiguration = 7\nrate_slack = \"x\""
        listOf("", unreadable).forEach {
            validWithBounds(it)
            val reloaded = assertIs<Validated.Valid<GatewayNodeSettings>>(SettingsFile.readGateway(file, inForce))
            assertEquals(inForce, reloaded.value.gateway, it)
        }
    }

    // Guards against keys, homes and evacuations that a reload puts out of force, because a section is empty.
    @Test
    fun `given a reload without features or regions, then those in force stay, and one that is set to false doesn't`() {
        val sections = "[features]\ntenants = true\nplaces = true\n[regions]\na = \"north\""
        val inForce = validWithBounds(sections).value.gateway
        listOf("", "[features]\n[regions]").forEach {
            validWithBounds(it)
            val reloaded = assertIs<Validated.Valid<GatewayNodeSettings>>(SettingsFile.readGateway(file, inForce))
            assertEquals(inForce, reloaded.value.gateway, it)
        }
        validWithBounds("[features]\ntenants = true\nplaces = false")
        val reloaded = assertIs<Validated.Valid<GatewayNodeSettings>>(SettingsFile.readGateway(file, inForce))
        assertEquals(setOf(Feature.ACCOUNTS), reloaded.value.gateway.features)
    }

    @Test
    fun `given a reload with other bounds, then these hold`() {
        val inForce = validWithBounds("key_withdrawal = \"2s\"").value.gateway
        validWithBounds("key_withdrawal = \"9s\"")
        val reloaded = assertIs<Validated.Valid<GatewayNodeSettings>>(SettingsFile.readGateway(file, inForce))
        assertEquals(8_800.milliseconds, reloaded.value.gateway.configurationLease)
    }

    // Guards against more retries than a deployment allows, because its ratio isn't read.
    @Test
    fun `given a retry ratio, then it is read from the deployed template's settings`() {
        assertEquals(0.05, validWithBounds("retry_ratio = 0.05").value.gateway.retryRatio)
        val template = Path.of("..", "deploy", "gateway.toml").readText()
        assertContains(template, "retry_ratio = {{bounds.retry_budget_ratio}}")
    }

    @Test
    fun `given a missing required setting, then the file is rejected with all findings`() {
        file.writeText("name = \"edge-1\"\n[bounds]\nretry_slack = \"many\"\n")
        val problems = assertIs<Validated.Invalid>(SettingsFile.readGateway(file)).problems
        assertContains(problems[0], "store_address: found nothing")
        assertContains(problems[1], "bounds.retry_slack")
    }

    @Test
    fun `given the deployed template without any bound, then its defaults are in force`() {
        val template = Path.of("..", "deploy", "gateway.toml").readText()
        val section = Regex("\\{\\{#[^}]*}}.*?\\{\\{/[^}]*}}", RegexOption.DOT_MATCHES_ALL)
        val withoutSections = section.replace(template, "")
        val filled = Regex("\\{\\{[^}]*}}").replace(withoutSections) { match ->
            when {
                "port" in match.value -> "7600"
                "first" in match.value -> "true"
                match.value == "{{ip}}" -> "127.0.0.1"
                else -> "127.0.0.1:1"
            }
        }
        file.writeText(filled)
        val settings = assertIs<Validated.Valid<GatewayNodeSettings>>(SettingsFile.readGateway(file))
        assertEquals(emptyList(), settings.warnings)
    }

    private fun assertSimilar(expected: Duration, actual: Duration) =
        assertTrue((expected - actual).absoluteValue < 1.microseconds, "expected $expected, found $actual")
}
