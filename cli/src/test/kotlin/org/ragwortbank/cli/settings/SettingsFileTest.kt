package org.ragwortbank.cli.settings

import org.ragwortbank.cli.tables.TablesFile
import org.ragwortbank.cli.toml.Checked
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

class SettingsFileTest {
    private val directory = Files.createTempDirectory("ragwortbank-settings")

    private fun file(name: String, text: String): Path = directory.resolve(name).also { it.writeText(text) }

    private fun problems(checked: Checked<*>): List<String> = assertIs<Checked.Bad>(checked).problems

    @Test
    fun `given the example settings, then there is no mistake`() {
        assertIs<Checked.Good<*>>(SettingsFile.entry(Path.of("..", "examples", "entry.toml")))
        assertIs<Checked.Good<*>>(SettingsFile.sidecar(Path.of("..", "examples", "sidecar.toml")))
    }

    @Test
    fun `given several mistakes, then all are told with file, path, what was found and what was expected`() {
        val text = """
            nmae = "entry-1"
            http_address = "8080"
            [entry]
            max_requests = 0
            credit_timeout = "soon"
        """.trimIndent()
        val found = problems(SettingsFile.entry(file("entry.toml", text)))
        assertEquals(5, found.size)
        assertContains(found[0], "entry.toml: name: found nothing, expected a text")
        assertContains(found.joinToString(), "http_address: found '8080', expected HOST:PORT")
        assertContains(found.joinToString(), "entry.max_requests: found '0', expected a whole number from 1 to 1000000")
        assertContains(found.joinToString(), "nmae: found an unknown setting, expected a known setting")
        assertContains(found.joinToString(), "the nearest is 'name'")
    }

    @Test
    fun `given times that would let two entries own one bucket, then they are refused`() {
        val text = "name = \"entry-1\"\n[entry]\nabsent_after = \"3s\"\n"
        val found = problems(SettingsFile.entry(file("entry.toml", text))).single()
        assertContains(found, "entry.absent_after: found 3s, expected at least 4.1s")
    }

    @Test
    fun `given text that is no TOML, then the file is named`() {
        val found = problems(SettingsFile.entry(file("bad.toml", "name = = 1"))).single()
        assertContains(found, "bad.toml: file: found malformed")
    }

    @Test
    fun `given the example tables, then there is no mistake`() {
        val examples = Path.of("..", "examples")
        assertIs<Checked.Good<*>>(TablesFile.read(examples.resolve("routes.toml"), examples.resolve("pools.toml")))
    }

    @Test
    fun `given tables with several mistakes, then all are told`() {
        val routes = file("routes.toml", "[routes.a]\npool = \"x\"\nadapter = \"a\"\nacounts = []\n[routes.b]\n")
        val pools = file("pools.toml", "[accounts.c]\nrate = -1\n[pools.x]\nkind = \"motor\"\n")
        val found = problems(TablesFile.read(routes, pools)).joinToString("\n")
        assertContains(found, "routes.a.version: found nothing")
        assertContains(found, "routes.a.acounts: found an unknown setting")
        assertContains(found, "the nearest is 'accounts'")
        assertContains(found, "routes.b.pool: found nothing")
        assertContains(found, "accounts.c.rate: found '-1'")
        assertContains(found, "pools.x.kind: found 'motor', expected \"engine\" or \"service\"")
    }
}
