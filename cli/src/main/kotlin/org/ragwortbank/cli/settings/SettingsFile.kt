package org.ragwortbank.cli.settings

import org.ragwortbank.cli.toml.TomlContent
import org.ragwortbank.cli.toml.TomlFile
import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.Validated
import org.ragwortbank.node.settings.EntryNodeSettings
import org.ragwortbank.node.settings.GatewayNodeSettings
import org.ragwortbank.node.settings.PlacerNodeSettings
import org.ragwortbank.node.settings.SidecarNodeSettings
import java.nio.file.Path

/** Reads the settings files of processes. */
object SettingsFile {
    /** The settings of an entry. */
    fun entry(path: Path): Validated<EntryNodeSettings> = read(path, ::readEntry)

    /** The settings of a sidecar. */
    fun sidecar(path: Path): Validated<SidecarNodeSettings> = read(path, ::readSidecar)

    /** The settings of a gateway. */
    fun gateway(path: Path): Validated<GatewayNodeSettings> = read(path, ::readGateway)

    /** The settings of a placer. */
    fun placer(path: Path): Validated<PlacerNodeSettings> = read(path, ::readPlacer)

    private fun <T> read(path: Path, block: (TomlReader) -> T): Validated<T> =
        when (val content = TomlFile.read(path)) {
            is TomlContent.Unreadable -> Validated.Invalid(listOf(content.problem.toString()))
            is TomlContent.Parsed -> check(TomlReader(path.toString(), content.table), block)
        }

    private fun <T> check(reader: TomlReader, block: (TomlReader) -> T): Validated<T> {
        val value = block(reader)
        val problems = reader.finish()
        return if (problems.isEmpty()) Validated.Valid(value) else Validated.Invalid(problems.map { it.toString() })
    }
}
