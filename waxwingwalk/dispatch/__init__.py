"""Jobs on pools of backend servers: who orders what, where and when.

Every decision here is a pure function of state and event; the ``host``
package carries the effects out.
"""
