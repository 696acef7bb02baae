package org.ragwortbank.cli.settings

import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.address
import org.ragwortbank.cli.toml.duration
import org.ragwortbank.node.settings.PlatformSettings

internal fun readPlatformSettings(reader: TomlReader): PlatformSettings {
    val defaults = PlatformSettings()
    return PlatformSettings(
        keyValueAddress = reader.address("key_value_address", defaults.keyValueAddress),
        instancesAddress = reader.address("instances_address", defaults.instancesAddress),
        callTimeout = reader.duration("call_timeout", defaults.callTimeout),
        connectTimeout = reader.duration("connect_timeout", defaults.connectTimeout),
        instancesInterval = reader.duration("instances_interval", defaults.instancesInterval),
        epochInterval = reader.duration("epoch_interval", defaults.epochInterval),
        configInterval = reader.duration("config_interval", defaults.configInterval),
    )
}
