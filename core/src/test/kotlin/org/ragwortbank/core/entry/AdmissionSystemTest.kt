package org.ragwortbank.core.entry

import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionSystemTest {
    private val entry = EntryFixture(EntrySettings(drainGrace = 1.seconds))

    @Test
    fun `given a key of the route's account, then the request runs on the adapter and version of the route`() {
        entry.receiveCall(entry.call())
        val dispatch = entry.dispatches().single()
        assertEquals("advice@3", dispatch.adapter?.engineName)
        assertEquals("large", dispatch.account.value)
    }

    @Test
    fun `given no key, then the request is refused and not run`() = assertRefusedNotRun(ResultCode.KEY_MISSING) {
        entry.receiveCall(entry.call(credential = null))
    }

    @Test
    fun `given an unknown key, then the request is refused and not run`() =
        assertRefusedNotRun(ResultCode.KEY_UNKNOWN) {
            entry.receiveCall(entry.call(credential = KeyHash("cc")))
        }

    @Test
    fun `given a key of another account, then the request is refused and not run`() =
        assertRefusedNotRun(ResultCode.ROUTE_FORBIDDEN) {
            entry.receiveCall(entry.call(route = "private", credential = EntryFixture.SMALL_KEY))
        }

    @Test
    fun `given an unknown route, then the request is refused and not run`() =
        assertRefusedNotRun(ResultCode.ROUTE_UNKNOWN) {
            entry.receiveCall(entry.call(route = "nowhere"))
        }

    @Test
    fun `given more tokens than the burst, then the request is refused and not run`() =
        assertRefusedNotRun(ResultCode.EXCEEDS_BURST) {
            entry.receiveCall(entry.call(maxTokens = 200))
        }

    @Test
    fun `given an empty bucket, then the refusal has a retry delay`() {
        assertRefusedNotRun(ResultCode.RATE_EXCEEDED) {
            entry.receiveCall(entry.call(maxTokens = 99))
            entry.receiveCall(entry.call(maxTokens = 49))
        }
        assertEquals(50.milliseconds, entry.refusals().single().retryAfter)
    }

    @Test
    fun `given a withdrawn key on a streaming request, then the answer ends with an error`() {
        entry.receiveCall(entry.call())
        val withdrawn = EntryFixture.CONFIGURATION.copy(
            version = 2,
            keys = EntryFixture.CONFIGURATION.keys.remove(EntryFixture.KEY),
        )
        entry.tick(EntryInput.ConfigurationRead(withdrawn))
        assertEquals(ResultCode.KEY_WITHDRAWN, entry.refusals().single().code)
    }

    @Test
    fun `given a lower version of the tables, then it is ignored`() {
        entry.tick(EntryInput.ConfigurationRead(EntryFixture.CONFIGURATION.copy(version = 0)))
        assertEquals(1, entry.tables.configuration.version)
    }

    @Test
    fun `given a stop request, then requests are accepted for the grace period and refused afterwards`() {
        entry.tick(EntryInput.StopRequested())
        entry.receiveCall(entry.call())
        assertEquals(1, entry.dispatches().size)
        assertRefusedNotRun(ResultCode.DRAINING) { entry.advance(2.seconds, EntryInput.CallArrived(entry.call())) }
    }

    private fun assertRefusedNotRun(code: ResultCode, action: () -> Unit) {
        action()
        val refusal = entry.refusals().single()
        assertEquals(code, refusal.code)
        assertEquals(Execution.NOT_RUN, refusal.execution)
        assertTrue(entry.dispatches().isEmpty())
    }
}
