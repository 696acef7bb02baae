package org.ragwortbank.cli.toml

import kotlinx.serialization.SerializationException
import net.peanuuutz.tomlkt.Toml
import net.peanuuutz.tomlkt.TomlTable
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads TOML files into tables. */
internal object TomlFile {
    /** The content of [path], or what is wrong with it. */
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

/** Outcome of reading a TOML file. */
internal sealed interface TomlContent {
    /** The file's [table]. */
    data class Parsed(val table: TomlTable) : TomlContent

    /** The file can't be used. */
    data class Unreadable(val problem: TomlProblem) : TomlContent
}
