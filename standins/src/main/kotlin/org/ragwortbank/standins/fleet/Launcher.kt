package org.ragwortbank.standins.fleet

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createDirectories

/**
 * Starts processes of the product and of the stand-ins, for tests, the demo and load runs.
 *
 * @param productJar jar of the product with all its libraries
 * @param standInsClassPath jar or class directory of the stand-ins, which use the libraries in the product's jar
 * @param directory directory for settings files and logs
 * @param usesOptimizingCompiler whether the JVM may use its optimizing compiler, which delays the start
 */
class Launcher(
    private val productJar: Path,
    private val standInsClassPath: Path,
    val directory: Path,
    usesOptimizingCompiler: Boolean = false,
) {
    private val javaCommand: List<String> =
        listOf(javaBinary, "-Xms16m", "-Xmx96m", "-XX:+UseSerialGC") +
            if (usesOptimizingCompiler) listOf() else FIRST_TIER_ONLY

    init {
        directory.createDirectories()
    }

    /** Starts a process of the product and waits until it is ready. */
    fun startProduct(name: String, arguments: List<String>): ChildProcess =
        start(name, listOf("-jar", productJar.toString()) + arguments)

    /** Starts an instance of the prepared platform in [role] with [settings] and waits until it is ready. */
    fun startInstance(name: String, role: String, settings: Path, flags: List<String> = emptyList()): ChildProcess =
        start(name, flags + listOf("-cp", productJar.toString(), INSTANCE_MAIN, role, settings.toString()))

    /** Starts an instance like [startInstance] and returns at once, while it starts. */
    fun beginInstance(name: String, role: String, settings: Path): Process =
        launch(name, listOf("-cp", productJar.toString(), INSTANCE_MAIN, role, settings.toString()))

    /** Starts a stand-in and waits until it is ready. */
    fun startStandIn(name: String, arguments: List<String>): ChildProcess {
        val classPath = standInsClassPath.toString() + File.pathSeparator + productJar
        return start(name, listOf("-cp", classPath, STAND_INS_MAIN) + arguments)
    }

    /** Runs a command of the product and waits until it exits. */
    fun runCommand(arguments: List<String>): CommandResult {
        val process = ProcessBuilder(javaCommand + listOf("-jar", productJar.toString()) + arguments)
            .redirectError(ProcessBuilder.Redirect.appendTo(logFile("commands")))
            .start()
        val output = process.inputStream.bufferedReader().readText()
        return CommandResult(process.waitFor(), output.trim())
    }

    /** Writes [text] to the settings file [name] and returns its path. */
    fun writeSettings(name: String, text: String): Path {
        val path = directory.resolve(name)
        Files.writeString(path, text)
        return path
    }

    private fun start(name: String, arguments: List<String>): ChildProcess {
        val process = launch(name, arguments)
        val outputFile = logFile("$name-output")
        Polling.until { findReadyLine(outputFile) != null || !process.isAlive }
        val readyLine = findReadyLine(outputFile)
        if (readyLine == null) {
            process.destroyForcibly()
            error("process $name printed no ready line, see ${logFile(name)}")
        }
        return ChildProcess(name, process, readyLine)
    }

    private fun launch(name: String, arguments: List<String>): Process =
        ProcessBuilder(javaCommand + arguments)
            .redirectError(ProcessBuilder.Redirect.appendTo(logFile(name)))
            .redirectOutput(logFile("$name-output"))
            .start()

    private fun findReadyLine(outputFile: File): String? =
        outputFile.useLines { lines -> lines.firstOrNull { it.startsWith("ready ") } }

    private fun logFile(name: String): File = directory.resolve("$name.log").toFile()

    private companion object {
        val FIRST_TIER_ONLY = listOf("-XX:TieredStopAtLevel=1")
        const val INSTANCE_MAIN = "org.ragwortbank.cli.Instance"
        const val STAND_INS_MAIN = "org.ragwortbank.standins.StandInsKt"
        val javaBinary: String = Path.of(System.getProperty("java.home"), "bin", "java").toString()
    }
}
