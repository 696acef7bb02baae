package org.ragwortbank.cli

import org.ragwortbank.cli.command.ExitCode
import org.ragwortbank.cli.command.settingsTable
import org.ragwortbank.cli.settings.SettingsList
import org.ragwortbank.core.result.ResultCode
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains

class DocumentsTest {
    @Test
    fun `docs-ERRORS lists every result code and exit code with its meaning`() {
        val resultCodeRows = ResultCode.entries.map { code ->
            "| ${code.number} | `${code.name.lowercase()}` | ${code.status} | ${code.meaning} |"
        }
        val exitCodeRows = ExitCode.entries.map { "| ${it.number} | ${it.meaning} |" }
        assertDocumented("ERRORS.md", listOf(resultCodeRows.joinToString("\n"), exitCodeRows.joinToString("\n")))
    }

    @Test
    fun `docs-SETTINGS lists every setting with its default`() {
        val tables = listOf(
            SettingsList.entrySettings(),
            SettingsList.sidecarSettings(),
            SettingsList.gatewaySettings(),
            SettingsList.placerSettings(),
        ).map(::settingsTable)
        assertDocumented("SETTINGS.md", tables)
    }

    /** Also writes the [expected] texts to a file in `target`, from which the document can be updated. */
    private fun assertDocumented(document: String, expected: List<String>) {
        Path.of("target", "expected-$document").writeText(expected.joinToString("\n\n"))
        val documentText = Path.of("..", "docs", document).readText()
        expected.forEach { assertContains(documentText, it) }
    }
}
