package org.ragwortbank.cli.settings

import org.ragwortbank.cli.tables.TableFiles
import org.ragwortbank.cli.toml.Validated
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

class SettingsFileTest {
    private val directory = Files.createTempDirectory("ragwortbank-settings")

    private fun writeFile(name: String, text: String): Path = directory.resolve(name).also { it.writeText(text) }

    private fun problemsOf(result: Validated<*>): List<String> = assertIs<Validated.Invalid>(result).problems

    @Test
    fun `given the example settings, then no problem is found`() {
        assertIs<Validated.Valid<*>>(SettingsFile.readEntry(Path.of("..", "examples", "entry.toml")))
        assertIs<Validated.Valid<*>>(SettingsFile.readSidecar(Path.of("..", "examples", "sidecar.toml")))
    }

    @Test
    fun `given several mistakes, then each is reported with file, path, found and expected value`() {
        val text = """
            nmae = "entry-1"
            http_address = "8080"
            [entry]
            max_requests = 0
            credit_timeout = "soon"
        """.trimIndent()
        val problems = problemsOf(SettingsFile.readEntry(writeFile("entry.toml", text)))
        assertEquals(5, problems.size)
        assertContains(problems[0], "entry.toml: name: found nothing, expected a text")
        assertContains(problems.joinToString(), "http_address: found '8080', expected HOST:PORT")
        val allText = problems.joinToString()
        assertContains(allText, "entry.max_requests: found '0', expected a whole number from 1 to 1000000")
        assertContains(problems.joinToString(), "nmae: found an unknown setting, expected a known setting")
        assertContains(problems.joinToString(), "the nearest is 'name'")
    }

    @Test
    fun `given an absent_after so short that two entries could own one bucket, then it is rejected`() {
        val text = "name = \"entry-1\"\n[entry]\nabsent_after = \"3s\"\n"
        val problem = problemsOf(SettingsFile.readEntry(writeFile("entry.toml", text))).single()
        assertContains(problem, "entry.absent_after: found 3s, expected at least 4.1s")
    }

    @Test
    fun `given a file that is not TOML, then the problem names the file`() {
        val problem = problemsOf(SettingsFile.readEntry(writeFile("bad.toml", "name = = 1"))).single()
        assertContains(problem, "bad.toml: file: found malformed")
    }

    @Test
    fun `given the example tables, then no problem is found`() {
        val examples = Path.of("..", "examples")
        assertIs<Validated.Valid<*>>(TableFiles.read(examples.resolve("routes.toml"), examples.resolve("pools.toml")))
    }

    @Test
    fun `given tables with several mistakes, then all are reported`() {
        val routes = writeFile("routes.toml", "[routes.a]\npool = \"x\"\nadapter = \"a\"\nacounts = []\n[routes.b]\n")
        val pools = writeFile("pools.toml", "[accounts.c]\nrate = -1\n[pools.x]\nkind = \"motor\"\n")
        val problems = problemsOf(TableFiles.read(routes, pools)).joinToString("\n")
        assertContains(problems, "routes.a.version: found nothing")
        assertContains(problems, "routes.a.acounts: found an unknown setting")
        assertContains(problems, "the nearest is 'accounts'")
        assertContains(problems, "routes.b.pool: found nothing")
        assertContains(problems, "accounts.c.rate: found '-1'")
        assertContains(problems, "pools.x.kind: found 'motor', expected \"engine\" or \"service\"")
    }
}
