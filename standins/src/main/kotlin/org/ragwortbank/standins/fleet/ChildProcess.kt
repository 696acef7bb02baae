package org.ragwortbank.standins.fleet

import org.ragwortbank.clients.http.Address
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A process that the launcher started and that has said that it is ready. */
class ChildProcess internal constructor(
    val name: String,
    private val process: Process,
    private val readyLine: String,
) {
    /** The operating system's number of the process. */
    val pid: Long get() = process.pid()

    /** Whether it still runs. */
    val isAlive: Boolean get() = process.isAlive

    /** The address that the ready line gives as [label]. */
    fun address(label: String): Address {
        val text = readyLine.split(' ').first { it.startsWith("$label=") }.substringAfter('=')
        return requireNotNull(Address.parse(text)) { "found '$text', expected HOST:PORT" }
    }

    /** Asks the process to stop. */
    fun terminate() = process.destroy()

    /** Tells the process that its settings file has changed. */
    fun requestSettingsReload() {
        ProcessBuilder("kill", "-HUP", pid.toString()).inheritIO().start().waitFor()
    }

    /** Ends the process at once. */
    fun kill() {
        process.destroyForcibly()
    }

    /** Waits for the end and returns the exit code; null when it still runs after [timeout]. */
    fun awaitExit(timeout: Duration): Int? =
        if (process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)) process.exitValue() else null

    override fun toString(): String = "$name ($pid)"
}
