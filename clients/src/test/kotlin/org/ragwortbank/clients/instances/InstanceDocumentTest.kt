package org.ragwortbank.clients.instances

import org.ragwortbank.core.model.InstanceRole
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against an instance that gets requests by a role or a state that isn't known here. */
class InstanceDocumentTest {
    private val document = InstanceDocument("side-1", "sidecar", "127.0.0.1:1", "127.0.0.1:2", "a")

    @Test
    fun `given a role that isn't known, then the entry names no instance`() =
        listOf("", "Sidecar", "operator").forEach { assertNull(document.copy(role = it).toInstance(), it) }

    @Test
    fun `given an entry without a name, then it names no instance`() =
        listOf("", " ").forEach { assertNull(document.copy(name = it).toInstance(), it) }

    @Test
    fun `given a state that isn't known, then the instance gets no new requests`() =
        listOf("", "leaving", "draining", "Live").forEach {
            assertTrue(assertNotNull(document.copy(state = it).toInstance()).isLeaving, it)
        }

    @Test
    fun `given a live sidecar or entry, then it is one`() {
        assertFalse(assertNotNull(document.toInstance()).isLeaving)
        assertEquals(InstanceRole.SIDECAR, document.toInstance()?.role)
        assertEquals(InstanceRole.ENTRY, document.copy(role = "entry").toInstance()?.role)
    }
}
