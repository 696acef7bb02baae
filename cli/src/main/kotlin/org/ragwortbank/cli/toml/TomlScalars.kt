package org.ragwortbank.cli.toml

import net.peanuuutz.tomlkt.TomlElement
import net.peanuuutz.tomlkt.TomlLiteral

/** The content of [element] if it is a non-empty string; otherwise null. */
internal fun stringContent(element: TomlElement): String? =
    (element as? TomlLiteral)?.takeIf { it.type == TomlLiteral.Type.String }?.content?.ifEmpty { null }

/** The source text of [element] if it is a literal other than a string, such as a number or Boolean; otherwise null. */
internal fun scalarContent(element: TomlElement): String? =
    (element as? TomlLiteral)?.takeIf { it.type != TomlLiteral.Type.String }?.content
