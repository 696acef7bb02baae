package org.ragwortbank.cli.settings

import org.ragwortbank.cli.toml.TomlContent
import org.ragwortbank.cli.toml.TomlFile
import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.Validated
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.node.settings.EntryNodeSettings
import org.ragwortbank.node.settings.GatewayNodeSettings
import org.ragwortbank.node.settings.PlacerNodeSettings
import org.ragwortbank.node.settings.SidecarNodeSettings
import java.nio.file.Path

/** Reads and validates the settings files of processes. */
object SettingsFile {
    /** Reads the settings of an entry. */
    fun readEntry(path: Path): Validated<EntryNodeSettings> = read(path, ::readEntryNodeSettings)

    /** Reads the settings of a sidecar. */
    fun readSidecar(path: Path): Validated<SidecarNodeSettings> = read(path, ::readSidecarNodeSettings)

    /** Reads the settings of a gateway; those [inForce] stand for bounds that are missing or can't be read. */
    fun readGateway(path: Path, inForce: GatewaySettings = GatewaySettings()): Validated<GatewayNodeSettings> =
        read(path) { readGatewayNodeSettings(it, inForce) }

    /** Reads the settings of a placer. */
    fun readPlacer(path: Path): Validated<PlacerNodeSettings> = read(path, ::readPlacerNodeSettings)

    private fun <T> read(path: Path, readSettings: (TomlReader) -> T): Validated<T> =
        when (val content = TomlFile.read(path)) {
            is TomlContent.Unreadable -> Validated.Invalid(listOf(content.problem.toString()))
            is TomlContent.Parsed -> validate(TomlReader(path.toString(), content.table), readSettings)
        }

    private fun <T> validate(reader: TomlReader, readSettings: (TomlReader) -> T): Validated<T> {
        val value = readSettings(reader)
        val problems = reader.finish()
        return when {
            problems.isEmpty() -> Validated.Valid(value, reader.warnings.map { it.toString() })
            else -> Validated.Invalid((problems + reader.warnings).map { it.toString() })
        }
    }
}
