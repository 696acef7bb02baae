package org.ragwortbank.cli.settings

import net.peanuuutz.tomlkt.TomlTable
import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.TomlSetting

/** Lists the settings that each kind of process accepts. */
object SettingsList {
    /** All settings of an entry. */
    fun entrySettings(): List<TomlSetting> = settingsReadBy(::readEntryNodeSettings)

    /** All settings of a sidecar. */
    fun sidecarSettings(): List<TomlSetting> = settingsReadBy(::readSidecarNodeSettings)

    /** All settings of a gateway. */
    fun gatewaySettings(): List<TomlSetting> = settingsReadBy { readGatewayNodeSettings(it) }

    /** All settings of a placer. */
    fun placerSettings(): List<TomlSetting> = settingsReadBy(::readPlacerNodeSettings)

    private fun settingsReadBy(readSettings: (TomlReader) -> Any): List<TomlSetting> {
        val reader = TomlReader("", TomlTable(emptyMap<String, Any>()))
        readSettings(reader)
        return reader.settings
    }
}
