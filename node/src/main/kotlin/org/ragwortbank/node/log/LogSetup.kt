package org.ragwortbank.node.log

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.config.Configurator

/** Where log lines go. */
enum class LogTarget(internal val appenderTarget: String) {
    STANDARD_ERROR("SYSTEM_ERR"),
    STANDARD_OUTPUT("SYSTEM_OUT"),
}

/** Configures Log4j for a process of the system: asynchronous, lines that find the buffer full are dropped. */
object LogSetup {
    private const val SELECTOR_PROPERTY = "log4j2.contextSelector"
    private const val ASYNC_SELECTOR = "org.apache.logging.log4j.core.async.BasicAsyncLoggerContextSelector"
    private const val RING_PROPERTY = "log4j2.asyncLoggerRingBufferSize"
    private const val RING_SIZE = "4096"
    private const val WAIT_PROPERTY = "log4j2.asyncLoggerWaitStrategy"
    private const val BLOCKING_WAIT = "Block"
    private const val FULL_PROPERTY = "log4j2.asyncQueueFullPolicy"
    private const val DISCARD = "Discard"

    /** Must be called before the first logger is used. */
    fun configure(level: String, format: LogFormat, target: LogTarget = LogTarget.STANDARD_ERROR) {
        System.setProperty(SELECTOR_PROPERTY, ASYNC_SELECTOR)
        System.setProperty(RING_PROPERTY, RING_SIZE)
        System.setProperty(WAIT_PROPERTY, BLOCKING_WAIT)
        System.setProperty(FULL_PROPERTY, DISCARD)
        Configurator.initialize(ProcessLogging(Level.toLevel(level), format, target))
    }

    /** Writes all lines out; nothing may be logged afterwards. */
    fun flush() = LogManager.shutdown()
}
