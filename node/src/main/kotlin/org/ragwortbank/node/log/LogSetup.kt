package org.ragwortbank.node.log

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.config.Configurator

/** Stream that log lines are written to. */
enum class LogTarget(internal val appenderTarget: String) {
    STANDARD_ERROR("SYSTEM_ERR"),
    STANDARD_OUTPUT("SYSTEM_OUT"),
}

/** Configures Log4j for a process: logging is asynchronous and drops lines while the ring buffer is full. */
object LogSetup {
    private const val CONTEXT_SELECTOR_PROPERTY = "log4j2.contextSelector"
    private const val ASYNC_CONTEXT_SELECTOR = "org.apache.logging.log4j.core.async.BasicAsyncLoggerContextSelector"
    private const val RING_BUFFER_SIZE_PROPERTY = "log4j2.asyncLoggerRingBufferSize"
    private const val RING_BUFFER_SIZE = "4096"
    private const val WAIT_STRATEGY_PROPERTY = "log4j2.asyncLoggerWaitStrategy"
    private const val BLOCK_STRATEGY = "Block"
    private const val QUEUE_FULL_POLICY_PROPERTY = "log4j2.asyncQueueFullPolicy"
    private const val DISCARD_POLICY = "Discard"

    /** Configures Log4j; must be called before the first logger is used. */
    fun configure(level: String, format: LogFormat, target: LogTarget = LogTarget.STANDARD_ERROR) {
        System.setProperty(CONTEXT_SELECTOR_PROPERTY, ASYNC_CONTEXT_SELECTOR)
        System.setProperty(RING_BUFFER_SIZE_PROPERTY, RING_BUFFER_SIZE)
        System.setProperty(WAIT_STRATEGY_PROPERTY, BLOCK_STRATEGY)
        System.setProperty(QUEUE_FULL_POLICY_PROPERTY, DISCARD_POLICY)
        Configurator.initialize(ProcessLogging(Level.toLevel(level), format, target))
    }

    /** Writes all pending lines and shuts Log4j down; nothing may be logged afterwards. */
    fun flush() = LogManager.shutdown()
}
