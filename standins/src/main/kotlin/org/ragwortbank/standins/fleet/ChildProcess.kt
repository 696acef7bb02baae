package org.ragwortbank.standins.fleet

import org.ragwortbank.clients.http.Address
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A process that the launcher started and that has printed its ready line. */
class ChildProcess internal constructor(
    val name: String,
    private val process: Process,
    private val readyLine: String,
) {
    /** The process ID. */
    val pid: Long get() = process.pid()

    /** Whether the process is still running. */
    val isAlive: Boolean get() = process.isAlive

    /** The address that follows `LABEL=` in the ready line, with [label] as LABEL. */
    fun address(label: String): Address {
        val text = readyLine.split(' ').first { it.startsWith("$label=") }.substringAfter('=')
        return requireNotNull(Address.parse(text)) {
            "$label in the ready line of $name: found '$text', expected HOST:PORT"
        }
    }

    /** Requests a graceful stop with SIGTERM. */
    fun terminate() = process.destroy()

    /** Makes the process read its settings file again, with SIGHUP. */
    fun requestSettingsReload() = signal("HUP")

    /** Makes the process stand still with SIGSTOP until [resume]. */
    fun suspend() = signal("STOP")

    /** Lets the process go on after [suspend], with SIGCONT. */
    fun resume() = signal("CONT")

    /** Kills the process with SIGKILL. */
    fun kill() {
        process.destroyForcibly()
    }

    /** Waits for the process to exit and returns its exit code; null if it is still running after [timeout]. */
    fun awaitExit(timeout: Duration): Int? =
        if (process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)) process.exitValue() else null

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).inheritIO().start().waitFor()
    }

    override fun toString(): String = "$name ($pid)"
}
