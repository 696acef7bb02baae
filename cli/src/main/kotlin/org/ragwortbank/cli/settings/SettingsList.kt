package org.ragwortbank.cli.settings

import net.peanuuutz.tomlkt.TomlTable
import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.TomlSetting

/** Lists the settings of processes. */
object SettingsList {
    /** All settings of an entry. */
    fun entrySettings(): List<TomlSetting> = describe(::readEntry)

    /** All settings of a sidecar. */
    fun sidecarSettings(): List<TomlSetting> = describe(::readSidecar)

    /** All settings of a gateway. */
    fun gatewaySettings(): List<TomlSetting> = describe(::readGateway)

    /** All settings of a placer. */
    fun placerSettings(): List<TomlSetting> = describe(::readPlacer)

    private fun describe(block: (TomlReader) -> Any): List<TomlSetting> {
        val reader = TomlReader("", TomlTable(emptyMap<String, Any>()))
        block(reader)
        return reader.settings
    }
}
