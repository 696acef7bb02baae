package org.ragwortbank.standins.fleet

import java.nio.file.Files
import java.nio.file.Path

/** A launcher of the built product and stand-ins, with its files in a new directory whose name begins with [prefix]. */
fun testLauncher(prefix: String, productJar: Path = builtJar) = Launcher(
    productJar = productJar,
    standInsClassPath = Path.of("target", "classes"),
    directory = Files.createTempDirectory(prefix),
)

private val builtJar = Path.of("..", "cli", "target", "cli-0.1.0-all.jar")
