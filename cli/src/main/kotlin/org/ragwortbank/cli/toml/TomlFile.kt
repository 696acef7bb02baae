package org.ragwortbank.cli.toml

import kotlinx.serialization.SerializationException
import net.peanuuutz.tomlkt.Toml
import net.peanuuutz.tomlkt.TomlTable
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText

/** Parses TOML files into tables. */
internal object TomlFile {
    /** The parsed content of [path], or the problem that prevents parsing. */
    fun read(path: Path): TomlContent =
        when {
            !Files.isReadable(path) -> unreadable(path, "no readable file", "a TOML file")
            else -> parse(path, path.readText())
        }

    private fun parse(path: Path, text: String): TomlContent =
        try {
            TomlContent.Parsed(Toml.parseToTomlTable(text))
        } catch (e: SerializationException) {
            unreadable(path, "malformed TOML (${e.message?.lineSequence()?.first()})", "TOML 1.0")
        } catch (e: IllegalArgumentException) {
            unreadable(path, "malformed TOML (${e.message?.lineSequence()?.first()})", "TOML 1.0")
        }

    private fun unreadable(path: Path, found: String, expected: String): TomlContent =
        TomlContent.Unreadable(TomlProblem(path.toString(), "", found, expected))
}

/** Result of reading a TOML file. */
internal sealed interface TomlContent {
    /** The file was parsed into [table]. */
    data class Parsed(val table: TomlTable) : TomlContent

    /** The file can't be read or is not valid TOML. */
    data class Unreadable(val problem: TomlProblem) : TomlContent
}
